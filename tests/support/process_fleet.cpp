#include "tests/support/process_fleet.hpp"

#include "tests/support/wait.hpp"

#include <algorithm>
#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <filesystem>
#include <sstream>
#include <stdexcept>

namespace yuccashift::test {

namespace {

    const std::string peerKey = "peer-key-of-the-process-tests";
    const std::string token = "operator-token-of-the-process-tests";

    Endpoint endpointOf(const std::string& text)
    {
        Endpoint endpoint;
        if (!parseEndpoint(text, endpoint))
            throw std::runtime_error("'" + text + "' is not ip:port");
        return endpoint;
    }

    /** Parses the endpoint after `key=` in a line printed by an instance. */
    Endpoint endpointAfter(const std::string& line, const std::string& key)
    {
        const auto begin = line.find(key + "=");
        if (begin == std::string::npos)
            throw std::runtime_error("no " + key + " in '" + line + "'");
        const auto text = line.substr(begin + key.size() + 1);
        return endpointOf(text.substr(0, text.find(' ')));
    }

    boost::json::object listed(const RunningInstance& it)
    {
        return { { "instance", it.spec.instance }, { "region", it.spec.region }, { "datacentre", it.spec.datacentre },
            { "callers", toString(it.callers) }, { "peers", toString(it.peers) }, { "operators", toString(it.operators) }, { "state", "live" } };
    }

} // namespace

RunningStandin startListening(const std::string& pathBelowBuild, const std::vector<std::string>& arguments, const std::string& folder, const std::string& name)
{
    std::vector<std::string> command { ProcessFleet::program(pathBelowBuild) };
    command.insert(command.end(), arguments.begin(), arguments.end());
    RunningStandin started;
    started.process = std::make_unique<ChildProcess>(command, "", folder, name);
    const std::string start = "listening ";
    started.endpoint = endpointOf(started.process->waitForLine(start).substr(start.size()));
    return started;
}

ProcessFleet::ProcessFleet(const std::string& name)
    : m_folder(makeFolder(name))
{
    startStandin("config_service", "config_service");
    startStandin("instance_list", "instance_list");
    startStandin("collector", "collector");
}

ProcessFleet::~ProcessFleet()
{
    m_instances.clear();
    m_standins.clear();
    std::error_code ec;
    std::filesystem::remove_all(m_folder, ec);
}

std::string ProcessFleet::program(const std::string& pathBelowBuild)
{
    // Test executables lie one folder below the build folder.
    const auto self = std::filesystem::read_symlink("/proc/self/exe");
    return self.parent_path().parent_path() / pathBelowBuild;
}

const std::string& ProcessFleet::operatorToken() const
{
    return token;
}

Endpoint ProcessFleet::startStandin(const std::string& name, const std::string& program, const std::vector<std::string>& arguments)
{
    auto started = startListening("standins/standin_" + program, arguments, m_folder, name);
    m_standins[name] = std::move(started.process);
    m_endpoints[name] = started.endpoint;
    return started.endpoint;
}

void ProcessFleet::killStandin(const std::string& name)
{
    m_standins.erase(name);
}

Endpoint ProcessFleet::standin(const std::string& name) const
{
    return m_endpoints.at(name);
}

void ProcessFleet::control(const std::string& name, const std::string& path, const std::string& body)
{
    const auto reply = send({ standin(name), "POST", path, {}, body });
    if (!reply.ok())
        throw std::runtime_error(name + path + ": " + reply.body);
}

boost::json::object ProcessFleet::read(const std::string& name, const std::string& path) const
{
    return objectOf(send({ standin(name), "GET", path, {}, "" }));
}

std::string ProcessFleet::settingsOf(const InstanceSpec& spec) const
{
    std::ostringstream out;
    out << "instance: " << spec.instance << "\nregion: " << spec.region << "\ndatacentre: " << spec.datacentre << "\n"
        << "listen: {callers: \"127.0.0.1:0\", peers: \"127.0.0.1:0\", operators: \"127.0.0.1:0\"}\n"
        << "platform:\n"
        << "  config_service: \"" << toString(standin("config_service")) << "\"\n"
        << "  instance_list: \"" << toString(standin("instance_list")) << "\"\n"
        << "  collector: \"" << toString(standin("collector")) << "\"\n"
        << "peer_key: " << peerKey << "\noperator_token: " << token << "\n"
        << spec.moreSettings;
    return out.str();
}

RunningInstance& ProcessFleet::startInstance(const InstanceSpec& spec)
{
    const std::vector<std::string> command { program("src/daemons/yuccashiftd"), "-" };
    RunningInstance running;
    running.spec = spec;
    const auto name = spec.instance + "-" + std::to_string(++m_runs);
    running.process = std::make_unique<ChildProcess>(command, settingsOf(spec), m_folder, name);
    const auto line = running.process->waitForLine("ready ");
    running.callers = endpointAfter(line, "callers");
    running.peers = endpointAfter(line, "peers");
    running.operators = endpointAfter(line, "operators");
    auto& stored = m_instances[spec.instance];
    stored = std::move(running);
    publishInstances();
    return stored;
}

void ProcessFleet::removeInstance(const InstanceId& id)
{
    m_instances.erase(id);
    publishInstances();
}

RunningInstance& ProcessFleet::instance(const InstanceId& id)
{
    return m_instances.at(id);
}

std::vector<InstanceId> ProcessFleet::instances() const
{
    std::vector<InstanceId> ids;
    for (const auto& [id, running] : m_instances)
        ids.push_back(id);
    return ids;
}

std::vector<InstanceId> ProcessFleet::orAll(const std::vector<InstanceId>& some) const
{
    return some.empty() ? instances() : some;
}

void ProcessFleet::publishInstances()
{
    boost::json::array list;
    for (const auto& [id, running] : m_instances)
        list.push_back(listed(running));
    const auto body = boost::json::serialize(boost::json::object { { "instances", list }, { "backends", boost::json::array() } });
    const auto reply = send({ standin("instance_list"), "PUT", "/control/instances", {}, body });
    if (!reply.ok())
        throw std::runtime_error("the instance list refused: " + reply.body);
}

bool ProcessFleet::waitReady(const std::vector<InstanceId>& some)
{
    const auto ids = orAll(some);
    return waitUntil([&] {
        return std::ranges::all_of(ids, [&](const auto& id) { return send({ instance(id).callers, "GET", "/readyz", {}, "" }).ok(); });
    });
}

bool ProcessFleet::waitForRevision(const ServiceName& service, Revision revision, const std::vector<InstanceId>& some)
{
    const auto ids = orAll(some);
    return waitUntil([&] {
        return std::ranges::all_of(ids, [&](const auto& id) { return revisionAt(id, service) == revision; });
    });
}

void ProcessFleet::publishDocument(const ServiceName& service, const std::string& yaml)
{
    const auto reply = send({ standin("config_service"), "PUT", "/control/documents/" + service, {}, yaml });
    if (!reply.ok())
        throw std::runtime_error("the configuration service refused: " + reply.body);
}

boost::json::object ProcessFleet::status(const InstanceId& id)
{
    return objectOf(send({ instance(id).operators, "GET", "/v1/status", { { "Authorization", "Bearer " + token } }, "" }));
}

Revision ProcessFleet::revisionAt(const InstanceId& id, const ServiceName& service)
{
    const auto answer = status(id);
    const auto* documents = answer.if_contains("documents");
    if (documents == nullptr)
        return 0;
    for (const auto& document : documents->as_array()) {
        if (document.at("service").as_string() == service)
            return document.at("revision").to_number<Revision>();
    }
    return 0;
}

} // namespace yuccashift::test
