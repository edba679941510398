#pragma once

#include <chrono>
#include <functional>

namespace yuccashift::test {

/** How long anything may take before a test calls it missing; generous, since machines are busy. */
constexpr std::chrono::seconds overallTimeout { 60 };

/** Asks until the condition holds; false where it does not within the timeout. */
bool waitUntil(const std::function<bool()>& condition, std::chrono::milliseconds timeout = overallTimeout);

} // namespace yuccashift::test
