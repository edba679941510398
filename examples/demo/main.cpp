#include "demo/demo.hpp"
#include "demo/platform_demo.hpp"

#include <iostream>

/** Runs the example deployments on the loopback network; exits 0 only where all was right. */
int main()
{
    bool right = true;
    try {
        for (const auto& plan : yuccashift::demo::deploymentPlans()) {
            yuccashift::demo::Deployment deployment(plan);
            yuccashift::demo::Demo demo(deployment, std::cout);
            right = demo.run() && right;
        }
        right = yuccashift::demo::PlatformDemo(std::cout).run() && right;
    } catch (const std::exception& error) {
        std::cout << "WRONG: " << error.what() << "\n";
        right = false;
    }
    std::cout << (right ? "\nAll of it was right.\n" : "\nNot all of it was right.\n");
    return right ? 0 : 1;
}
