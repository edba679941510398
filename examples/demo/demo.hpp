#pragma once

#include "demo/deployment.hpp"
#include "demo/step_log.hpp"
#include "tests/support/workload.hpp"

#include <iosfwd>

namespace yuccashift::demo {

/** Demonstrates one deployment step by step, prints the results and records whether every check passed. */
class Demo {
public:
    Demo(Deployment&, std::ostream&);

    /** Runs every step and returns whether all checks passed. */
    bool run();

private:
    void describe();
    void streamChat();
    void callIdempotent();
    void callNonIdempotent();
    void callBoundFromElsewhere();
    void callWithShortDeadline();
    void changeDocument();
    void drainUnderLoad();
    void answerFromEveryRegion();

    /** Prints the trace of an answer, one line per hop, and returns that text. */
    std::string showTrace(const test::HttpReply&);
    /** Runs the operator's client without printing; returns its exit code (-1 if it did not exit) and its output. */
    std::pair<int, std::string> client(std::vector<std::string> arguments);
    std::vector<std::string> instanceFlags(const std::vector<InstanceId>&);
    std::string sendChat(const InstanceId& entry, const OrganisationName&, const std::string& prompt);

    Deployment& m_deployment;
    const DeploymentPlan& m_plan;
    std::ostream& m_out;
    StepLog m_steps;
    unsigned m_clientRuns = 0;
};

} // namespace yuccashift::demo
