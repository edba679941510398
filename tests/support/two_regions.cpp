#include "tests/support/two_regions.hpp"

#include "standins/common/answer_text.hpp"
#include "tests/support/wait.hpp"

#include <algorithm>
#include <sstream>
#include <stdexcept>

namespace yuccashift::test {

namespace {

    // Stalled connections time out early, so that tests do not wait for the default timeout.
    constexpr const char* shortTimeouts = "bounds: {progress_timeout_ms: 1500}\n";
    constexpr std::chrono::milliseconds callTimeout { 5000 };

    std::string organisations()
    {
        std::ostringstream out;
        out << "organisations:\n"
            << "  - {name: tourist-app, credential_sha256: [\"" << standins::sha256Hex(anywhereCredential) << "\"]}\n"
            << "  - {name: inspection, credential_sha256: [\"" << standins::sha256Hex(varnaCredential) << "\"], residency: [varna]}\n";
        return out.str();
    }

    std::string backend(const std::string& name, const std::string& region, const Endpoint& at)
    {
        return "  - {name: " + name + ", region: " + region + ", datacentre: " + region + "-hall, address: \"" + toString(at) + "\"}\n";
    }

} // namespace

TwoRegions::TwoRegions(const std::string& name)
    : m_fleet(name)
{
    for (const auto* engine : { "engine-sofia-1", "engine-sofia-2", "engine-varna-1" })
        m_fleet.startStandin(engine, "engine", { "--model", "itinerary:12" });
    for (const auto* ledger : { "ledger-sofia", "ledger-varna" })
        m_fleet.startStandin(ledger, "plain_service", { "--name", ledger });
    publish(1);
    for (const auto& instance : allInstances())
        m_fleet.startInstance(spec(instance));
    if (!m_fleet.waitReady() || !m_fleet.waitForRevision("assistant", 1) || !m_fleet.waitForRevision("ledger", 1))
        throw std::runtime_error("the instances did not become ready");
    if (!serves(allInstances()))
        throw std::runtime_error("the instances do not serve");
    if (!reachVarna())
        throw std::runtime_error("the regions do not reach each other");
}

std::vector<InstanceId> TwoRegions::allInstances()
{
    return { "sofia-1", "sofia-2", "varna-1", "varna-2" };
}

InstanceSpec TwoRegions::spec(const InstanceId& instance)
{
    const auto region = instance.substr(0, instance.find('-'));
    return { instance, region, region + "-hall", shortTimeouts };
}

Endpoint TwoRegions::entry(const InstanceId& instance)
{
    return m_fleet.instance(instance).callers;
}

Endpoint TwoRegions::entryAt(std::size_t n)
{
    const auto all = allInstances();
    return entry(all[n % all.size()]);
}

void TwoRegions::publish(Revision revision, const std::string& moreOfLedger)
{
    m_fleet.publishDocument("assistant", assistantDocument(revision));
    m_fleet.publishDocument("ledger", ledgerDocument(revision) + moreOfLedger);
}

std::string TwoRegions::assistantDocument(Revision revision) const
{
    std::ostringstream out;
    out << "service: assistant\nowner: tests\nrevision: " << revision << "\nkind: model\nregions: [sofia, varna]\n"
        << "models:\n  - {name: itinerary, version: \"12\"}\n"
        << "backends:\n"
        << backend("engine-sofia-1", "sofia", m_fleet.standin("engine-sofia-1"))
        << backend("engine-sofia-2", "sofia", m_fleet.standin("engine-sofia-2"))
        << backend("engine-varna-1", "varna", m_fleet.standin("engine-varna-1"))
        << "routes:\n  - {name: chat, path: /v1/chat/completions, deadline_ms: 30000}\n"
        << "retry: {attempts: 3, budget_percent: 100}\n"
        << organisations();
    return out.str();
}

std::string TwoRegions::ledgerDocument(Revision revision) const
{
    std::ostringstream out;
    out << "service: ledger\nowner: tests\nrevision: " << revision << "\nkind: plain\npath_prefix: /ledger\nregions: [sofia, varna]\n"
        << "backends:\n"
        << backend("ledger-sofia", "sofia", m_fleet.standin("ledger-sofia"))
        << backend("ledger-varna", "varna", m_fleet.standin("ledger-varna"))
        << "routes:\n"
        << "  - {name: balance, method: GET, path: \"/balance/*\", deadline_ms: 20000}\n"
        << "  - {name: redeem, path: /redeem, idempotent: false, priority: urgent, deadline_ms: 20000}\n"
        << "retry: {attempts: 3, budget_percent: 100}\n"
        << organisations();
    return out.str();
}

KeyedCall TwoRegions::redeem(std::size_t firstEntry, std::size_t attempts, const std::string& body)
{
    KeyedCall call;
    call.key = askEntries(entryAt(firstEntry), anywhereCredential).key;
    for (std::size_t n = 0; n < attempts && !call.key.empty(); ++n) {
        auto request = plainRequest(entryAt(firstEntry + n), anywhereCredential, "POST", "/ledger/redeem", body);
        request.headers["Idempotency-Key"] = call.key;
        request.timeout = callTimeout;
        call.replies.push_back(send(request));
        if (call.replies.back().ok())
            break;
    }
    return call;
}

std::uint64_t TwoRegions::runsOf(const std::string& key) const
{
    std::uint64_t sum = 0;
    for (const auto* ledger : { "ledger-sofia", "ledger-varna" }) {
        const auto answer = m_fleet.read(ledger, "/control/runs");
        const auto& runs = answer.at("runs").as_object();
        if (const auto* count = runs.if_contains(key))
            sum += count->to_number<std::uint64_t>();
    }
    return sum;
}

bool TwoRegions::reachVarna()
{
    const auto all = allInstances();
    return std::ranges::all_of(all, [&](const auto& id) {
        const ChatCall chat { "itinerary", "does " + id + " reach varna?", 2, false };
        return waitUntil([&] { return judgeChat(chat, send(chatRequest(entry(id), varnaCredential, chat))) == Outcome::Whole; });
    });
}

bool TwoRegions::serves(const std::vector<InstanceId>& instances)
{
    return std::ranges::all_of(instances, [&](const auto& id) {
        return waitUntil([&] {
            const ChatCall chat { "itinerary", "are you there, " + id + "?", 2, false };
            const auto plain = plainRequest(entry(id), anywhereCredential, "GET", "/ledger/balance/" + id, "");
            return judgeChat(chat, send(chatRequest(entry(id), anywhereCredential, chat))) == Outcome::Whole
                && judgePlain(plain, send(plain)) == Outcome::Whole;
        });
    });
}

} // namespace yuccashift::test
