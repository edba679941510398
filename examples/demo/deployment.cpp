#include "demo/deployment.hpp"

#include "tests/support/wait.hpp"
#include "tests/support/workload.hpp"
#include "yuccashift/document/parser.hpp"

#include <algorithm>
#include <fstream>
#include <sstream>
#include <stdexcept>

namespace yuccashift::demo {

namespace {

    std::string readText(const std::string& file)
    {
        std::ostringstream text;
        text << std::ifstream(file).rdbuf();
        return text.str();
    }

    Document parse(const std::string& yaml, const std::string& file)
    {
        const auto document = parseDocument(yaml);
        if (!document)
            throw std::runtime_error(format(document.error(), file));
        return *document;
    }

    void replaceOnce(std::string& text, const std::string& from, const std::string& to)
    {
        const auto at = text.find(from);
        if (at == std::string::npos)
            throw std::runtime_error("'" + from + "' is not in the document");
        text.replace(at, from.size(), to);
    }

    std::vector<std::string> engineArguments(const Document& document, const BackendSpec& backend, const Endpoint& weightStore)
    {
        std::vector<std::string> arguments { "--slots", std::to_string(backend.slots), "--fence", std::string(toString(backend.fence)),
            "--weight-store", toString(weightStore) };
        for (const auto& model : document.models) {
            std::string spec = model.name + ":" + model.version;
            if (!model.adapters.empty())
                spec += ":" + model.adapters.front();
            arguments.insert(arguments.end(), { "--model", spec });
        }
        return arguments;
    }

} // namespace

std::vector<DeploymentPlan> deploymentPlans()
{
    return {
        { "Kolanut", "kolanut", { { "lagos", "ikeja-hall", 4 }, { "abuja", "wuse-hall", 2 }, { "port-harcourt", "trans-amadi", 2 } },
            "yucca-draft", "ledger-app", "yucca:schedules", "payroll-bureau", "harbour-fleet",
            "/ledger-app/rates/2026", "/ledger-app/entries", "Draft the benefit-in-kind schedule of car LAG-204-KJ for November." },
        { "Association", "association", { { "sofia", "sofia-hall", 3 }, { "plovdiv", "plovdiv-hall", 2 }, { "varna", "varna-hall", 2 } },
            "pass-assistant", "pass-ledger", "itinerary:museums", "tourist-app", "transport-inspection",
            "/pass-ledger/balance/7731", "/pass-ledger/redeem", "Plan two days of museums in Plovdiv with a city pass." },
    };
}

Deployment::Deployment(DeploymentPlan plan)
    : m_plan(std::move(plan))
    , m_fleet("demo-" + m_plan.folder)
{
    m_fleet.startStandin("weight_store", "weight_store");
    m_fleet.startStandin("directory", "directory");
    startBackends(m_plan.modelService);
    startBackends(m_plan.plainService);
    for (const auto& [service, yaml] : m_documents)
        m_fleet.publishDocument(service, yaml);
    for (const auto& region : m_plan.regions) {
        for (std::size_t n = 1; n <= region.instances; ++n)
            m_fleet.startInstance({ region.region + "-" + std::to_string(n), region.region, region.datacentre, "" });
    }
    const bool ready = m_fleet.waitReady() && m_fleet.waitForRevision(m_plan.modelService, 1) && m_fleet.waitForRevision(m_plan.plainService, 1);
    if (!ready)
        throw std::runtime_error("the instances did not become ready");
    if (!waitUntilConnected())
        throw std::runtime_error("the regions do not reach each other");
}

bool Deployment::waitUntilConnected()
{
    const auto home = credential(m_plan.boundOrganisation);
    const auto all = m_fleet.instances();
    return std::ranges::all_of(all, [&](const auto& id) {
        const auto call = test::plainRequest(entry(id), home, "GET", m_plan.readPath, "");
        return test::waitUntil([&] { return test::send(call).ok(); });
    });
}

void Deployment::startBackends(const ServiceName& service)
{
    const auto file = "examples/" + m_plan.folder + "/" + service + ".yaml";
    auto yaml = readText(file);
    const auto document = parse(yaml, file);
    for (const auto& backend : document.backends) {
        Endpoint endpoint;
        if (document.kind == ServiceKind::Model) {
            endpoint = m_fleet.startStandin(backend.name, "engine", engineArguments(document, backend, m_fleet.standin("weight_store")));
        } else {
            endpoint = m_fleet.startStandin(backend.name, "plain_service", { "--name", backend.name });
            m_plainServers.push_back(backend.name);
        }
        replaceOnce(yaml, "\"" + toString(backend.address) + "\"", "\"" + toString(endpoint) + "\"");
    }
    m_documents[service] = yaml;
}

InstanceId Deployment::instanceIn(std::size_t region, std::size_t n) const
{
    return m_plan.regions[region].region + "-" + std::to_string(n);
}

Endpoint Deployment::entry(const InstanceId& instance)
{
    return m_fleet.instance(instance).callers;
}

void Deployment::publish(const ServiceName& service, const std::string& yaml)
{
    m_documents[service] = yaml;
    m_fleet.publishDocument(service, yaml);
}

std::uint64_t Deployment::runsOf(const std::string& key) const
{
    std::uint64_t sum = 0;
    for (const auto& name : m_plainServers) {
        const auto answer = m_fleet.read(name, "/control/runs");
        const auto& runs = answer.at("runs").as_object();
        if (const auto* count = runs.if_contains(key))
            sum += count->to_number<std::uint64_t>();
    }
    return sum;
}

std::string Deployment::credential(const OrganisationName& organisation)
{
    return "example-credential-" + organisation;
}

} // namespace yuccashift::demo
