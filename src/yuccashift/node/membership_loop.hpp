#pragma once

#include "yuccashift/node/loop_context.hpp"
#include "yuccashift/platform/instance_list.hpp"

#include <map>

namespace yuccashift {

/** Reads the platform's list of instances and tells the parts who is there. */
class MembershipLoop {
public:
    MembershipLoop(LoopContext, InstanceList&);

    /** Reads the list again and again. */
    boost::asio::awaitable<void> runListing();
    /** Drives the coordinator, the gates and what expires. */
    boost::asio::awaitable<void> runTicks();

private:
    void takeListing(const Listing&);
    void updatePeers();
    void updateSenders();

    LoopContext m_context;
    InstanceList& m_list;
    std::map<BackendName, bool> m_leaving;
};

} // namespace yuccashift
