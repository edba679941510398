#pragma once

#include "tests/support/http_call.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace yuccashift::test {

/** Verdict on a reply, as its caller sees it. */
enum class Outcome {
    /** Complete, and exactly the expected answer to this call. */
    Whole,
    /** An explicit error, or a connection that closed before the answer was complete. */
    Failed,
    /** Marked as complete, but truncated or the answer to another call. Never allowed. */
    Wrong,
};

/** One chat completion that a test sends. */
struct ChatCall {
    std::string model;
    std::string prompt;
    std::uint64_t tokens = 12;
    bool stream = true;
};

/** Builds the HTTP request for an entry instance. */
HttpCall chatRequest(const Endpoint& entry, const std::string& credential, const ChatCall&);
Outcome judgeChat(const ChatCall&, const HttpReply&);
/** Concatenated text of all tokens received in a stream. */
std::string streamedText(std::string_view body);

/** Builds the HTTP request of a call to the plain service. */
HttpCall plainRequest(const Endpoint& entry, const std::string& credential, const std::string& method, const std::string& target, const std::string& body);
Outcome judgePlain(const HttpCall&, const HttpReply&);

/** A field of an error reply, such as `code` or `runState`; an empty string if it is absent. */
std::string errorField(const HttpReply&, std::string_view field);

/** The idempotency key and entry endpoints that an instance offers to a caller. */
struct EntryOffer {
    std::string key;
    std::vector<Endpoint> entries;
};
EntryOffer askEntries(const Endpoint& entry, const std::string& credential);

/** A non-idempotent call and the replies to all its attempts, across all entries. */
struct KeyedCall {
    std::string key;
    std::vector<HttpReply> replies;

    bool anyWhole() const;
    /** Whether every reply says that the call did not run. */
    bool allNotRun() const;
};

} // namespace yuccashift::test
