#pragma once

#include "yuccashift/membership/member_table.hpp"
#include "yuccashift/node/loop_context.hpp"
#include "yuccashift/ports/instance_list.hpp"

#include <map>
#include <set>

namespace yuccashift {

/** Polls the platform's list of instances and passes membership changes to the other components. */
class MembershipLoop {
public:
    MembershipLoop(LoopContext, InstanceList&);

    /** Polls the instance list about once a second. Never returns. */
    boost::asio::awaitable<void> pollInstanceList();
    /** Calls the coordinator and the admission gates every 100 ms, and removes expired state about once a second. Never returns. */
    boost::asio::awaitable<void> runTicks();

private:
    void handleListing(const InstanceListing&);
    void updatePeerLinks();
    /** Instances to which this one keeps a link open even when it is unused. */
    std::set<InstanceId> permanentLinks(const std::map<InstanceId, MemberState>&) const;
    /** Passes the number of live instances and the reachable regions to the load trackers and the rate limits. */
    void updateRegionsAndLimits();

    LoopContext m_context;
    InstanceList& m_list;
};

} // namespace yuccashift
