#pragma once

#include <chrono>
#include <functional>

namespace yuccashift::test {

/** Default time limit of waits in tests; generous, because test machines may be heavily loaded. */
constexpr std::chrono::seconds overallTimeout { 60 };

/** Polls until the condition holds; returns false if it does not hold within the timeout. */
bool waitUntil(const std::function<bool()>& condition, std::chrono::milliseconds timeout = overallTimeout);

} // namespace yuccashift::test
