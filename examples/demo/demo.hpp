#pragma once

#include "demo/deployment.hpp"
#include "demo/step_log.hpp"
#include "tests/support/workload.hpp"

#include <iosfwd>

namespace yuccashift::demo {

/** Walks through one deployment, prints what happens and remembers whether all of it was right. */
class Demo {
public:
    Demo(Deployment&, std::ostream&);

    /** Runs every step; whether all of it was right. */
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

    /** Prints the trace of an answer with a line for each hop, and returns it. */
    std::string showTrace(const test::HttpReply&);
    /** Runs the operator's client; prints nothing. */
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
