#pragma once

#include "yuccashift/membership/member_table.hpp"
#include "yuccashift/node/loop_context.hpp"
#include "yuccashift/ports/instance_list.hpp"

#include <map>
#include <set>

namespace yuccashift {

/** Reads the platform's list of instances and tells the parts who is there. */
class MembershipLoop {
public:
    MembershipLoop(LoopContext, InstanceList&);

    /** Reads the list again and again. */
    boost::asio::awaitable<void> pollInstanceList();
    /** Drives the coordinator, the gates and what expires. */
    boost::asio::awaitable<void> runTicks();

private:
    void takeListing(const InstanceListing&);
    void updatePeers();
    /** Instances to which a link is always held. */
    std::set<InstanceId> keptLinks(const std::map<InstanceId, MemberState>&) const;
    void updateSenders();

    LoopContext m_context;
    InstanceList& m_list;
};

} // namespace yuccashift
