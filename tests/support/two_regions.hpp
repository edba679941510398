#pragma once

#include "tests/support/process_fleet.hpp"
#include "tests/support/workload.hpp"

#include <string>

namespace yuccashift::test {

/** Credential of the organisation that may be served in both regions. */
constexpr const char* anywhereCredential = "credential-of-tourist-app";
/** Credential of the organisation that must be served in varna. */
constexpr const char* varnaCredential = "credential-of-inspection";

/**
 * Four instances in sofia and varna, two engines in sofia and one in varna, and
 * a plain service in each, with a document for both services in force.
 */
class TwoRegions {
public:
    explicit TwoRegions(const std::string& name);

    ProcessFleet& fleet() { return m_fleet; }
    Endpoint entry(const InstanceId&);
    /** Entry endpoint number `n`, modulo the number of instances. */
    Endpoint entryAt(std::size_t n);

    /** Publishes both documents with this revision; `moreOfLedger` is appended to the ledger document. */
    void publish(Revision, const std::string& moreOfLedger = "");
    std::string assistantDocument(Revision) const;
    std::string ledgerDocument(Revision) const;

    /** Sends a non-idempotent call up to `attempts` times, each time through the next entry, until one succeeds. */
    KeyedCall redeem(std::size_t firstEntry, std::size_t attempts, const std::string& body);
    /** Number of executions of an idempotency key, summed over all plain services. */
    std::uint64_t runsOf(const std::string& key) const;
    /** Polls each given instance until it serves a chat and a plain call; returns whether all of them do. */
    bool serves(const std::vector<InstanceId>&);

    static InstanceSpec spec(const InstanceId&);
    static std::vector<InstanceId> allInstances();

private:
    /** Waits until a request that must run in varna is served through every entry. */
    bool reachVarna();

    ProcessFleet m_fleet;
};

} // namespace yuccashift::test
