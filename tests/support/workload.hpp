#pragma once

#include "tests/support/http_call.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace yuccashift::test {

/** What a caller can make of a reply. */
enum class Outcome {
    /** Presented as whole, and exactly the caller's own answer. */
    Whole,
    /** A clear error, or a connection that ended before the answer did. */
    Failed,
    /** Presented as whole, but not the caller's own whole answer. Never allowed. */
    Wrong,
};

/** One chat completion that a test sends. */
struct ChatCall {
    std::string model;
    std::string prompt;
    std::uint64_t tokens = 12;
    bool stream = true;
};

/** The request as it goes to an entry instance. */
HttpCall chatRequest(const Endpoint& entry, const std::string& credential, const ChatCall&);
Outcome judgeChat(const ChatCall&, const HttpReply&);
/** Text of all tokens that arrived of a stream. */
std::string streamedText(std::string_view body);

/** A call of the plain service, and what became of it. */
HttpCall plainRequest(const Endpoint& entry, const std::string& credential, const std::string& method, const std::string& target, const std::string& body);
Outcome judgePlain(const HttpCall&, const HttpReply&);

/** `code` and `runState` of an error answer; empty where it has none. */
std::string errorField(const HttpReply&, std::string_view field);

/** The idempotency key and entries that an instance offers to a caller. */
struct EntryOffer {
    std::string key;
    std::vector<Endpoint> entries;
};
EntryOffer askEntries(const Endpoint& entry, const std::string& credential);

/** One non-idempotent call with every reply to it, whichever entry it was sent through. */
struct KeyedCall {
    std::string key;
    std::vector<HttpReply> replies;

    bool anyWhole() const;
    /** Whether every reply says that the call did not run. */
    bool allNotRun() const;
};

} // namespace yuccashift::test
