#include "demo/demo.hpp"
#include "demo/platform_demo.hpp"

#include <iostream>

/** Runs the example deployments on the loopback network; exits with 0 only if every check passed. */
int main()
{
    bool passed = true;
    try {
        for (const auto& plan : yuccashift::demo::deploymentPlans()) {
            yuccashift::demo::Deployment deployment(plan);
            yuccashift::demo::Demo demo(deployment, std::cout);
            passed = demo.run() && passed;
        }
        passed = yuccashift::demo::PlatformDemo(std::cout).run() && passed;
    } catch (const std::exception& error) {
        std::cout << "WRONG: " << error.what() << "\n";
        passed = false;
    }
    std::cout << (passed ? "\nAll of it was right.\n" : "\nNot all of it was right.\n");
    return passed ? 0 : 1;
}
