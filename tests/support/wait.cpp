#include "tests/support/wait.hpp"

#include <thread>

namespace yuccashift::test {

bool waitUntil(const std::function<bool()>& condition, std::chrono::milliseconds timeout)
{
    constexpr std::chrono::milliseconds pause { 20 };
    const auto until = std::chrono::steady_clock::now() + timeout;
    while (!condition()) {
        if (std::chrono::steady_clock::now() >= until)
            return false;
        std::this_thread::sleep_for(pause);
    }
    return true;
}

} // namespace yuccashift::test
