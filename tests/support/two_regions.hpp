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
    /** Entry number n, counting round and round. */
    Endpoint entryAt(std::size_t n);

    /** Publishes the documents with this revision; more lines follow the ledger's. */
    void publish(Revision, const std::string& moreOfLedger = "");
    std::string assistantDocument(Revision) const;
    std::string ledgerDocument(Revision) const;

    /** Sends a non-idempotent call, at most so often, each time through the next entry, until one answers. */
    KeyedCall redeem(std::size_t firstEntry, std::size_t attempts, const std::string& body);
    /** How often a key ran on all plain services. */
    std::uint64_t runsOf(const std::string& key) const;
    /** Whether every instance given serves a chat and a plain call, asked until it does. */
    bool serves(const std::vector<InstanceId>&);

    static InstanceSpec spec(const InstanceId&);
    static std::vector<InstanceId> allInstances();

private:
    /** Waits until a request bound to varna is served wherever it arrives. */
    bool reachVarna();

    ProcessFleet m_fleet;
};

} // namespace yuccashift::test
