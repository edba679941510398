#pragma once

#include "demo/step_log.hpp"
#include "platform/standins/entry_fleet.hpp"

#include <iosfwd>

namespace yuccashift::demo {

/**
 * Walks through `yuccashift-entry` on stand-ins of the users' platform: a store
 * that can only be read, backend servers that register there, three instances in
 * two regions. Prints what happens and remembers whether all of it was right.
 */
class PlatformDemo {
public:
    explicit PlatformDemo(std::ostream&);

    /** Runs every step; whether all of it was right. */
    bool run();

private:
    void start();
    void askTheDirectory();
    void callInTheOwnRegion();
    void callBoundFromElsewhere();
    void changeTheConfiguration();
    void serveWhileTheStoreIsDown();
    void evacuate();
    void stopUnderLoad();

    /** Prints what the logs of all instances say of a request. */
    void showRequestLog(const std::string& attempt);

    std::ostream& m_out;
    StepLog m_steps;
    std::string m_folder;
    test::EntryFleet m_fleet { "platform-demo" };
};

} // namespace yuccashift::demo
