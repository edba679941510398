#pragma once

#include "yuccashift/http/message.hpp"
#include "yuccashift/kernel/error.hpp"

#include <string>

namespace yuccashift {

class Coordinator;
struct Parts;

/** Path at which callers ask which entry instances to use. */
constexpr std::string_view entriesPath = "/v1/entries";

/**
 * The entry instances that a caller should use, best first, and an idempotency
 * key that this instance hands out where its region may serve the caller.
 * Unauthenticated where no service knows the credential.
 */
Result<std::string> entryAnswer(Parts&, const Coordinator&, const RequestMessage&);

} // namespace yuccashift
