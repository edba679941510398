#pragma once

#include "demo/step_log.hpp"
#include "platform/standins/entry_fleet.hpp"

#include <iosfwd>

namespace yuccashift::demo {

/**
 * Demonstrates `yuccashift-entry` against stand-ins for the users' platform: a
 * store that instances only read, backend servers registered there, and three instances
 * in two regions. Prints the results and records whether every check passed.
 */
class PlatformDemo {
public:
    explicit PlatformDemo(std::ostream&);

    /** Runs every step and returns whether all checks passed. */
    bool run();

private:
    void start();
    void queryDirectory();
    void callInOwnRegion();
    void callBoundFromElsewhere();
    void changeConfiguration();
    void serveWhileStoreIsDown();
    void evacuate();
    void stopUnderLoad();

    /** Prints the log entries of all instances for one request. */
    void showRequestLog(const std::string& attempt);

    std::ostream& m_out;
    StepLog m_steps;
    std::string m_folder;
    test::EntryFleet m_fleet { "platform-demo" };
};

} // namespace yuccashift::demo
