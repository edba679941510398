#pragma once

namespace yuccashift::detail {

constexpr int firstInterimStatus = 100;
constexpr int firstFinalStatus = 200;
constexpr int lastStatus = 599;

/** Whether HTTP defines a class for the status. A message with another one is no answer, though it can be parsed. */
constexpr bool isAnswerStatus(int status)
{
    return status >= firstInterimStatus && status <= lastStatus;
}

constexpr bool isInterim(int status)
{
    return status >= firstInterimStatus && status < firstFinalStatus;
}

} // namespace yuccashift::detail
