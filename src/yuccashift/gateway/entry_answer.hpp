#pragma once

#include "yuccashift/http/message.hpp"
#include "yuccashift/kernel/error.hpp"

#include <string>

namespace yuccashift {

class Coordinator;
struct GatewayComponents;

/** Path at which callers ask which entry instances to use. */
constexpr std::string_view entriesPath = "/v1/entries";

/**
 * Returns, as JSON, the entry instances that the caller should use, best first,
 * and an idempotency key minted by this instance if its region may serve the
 * caller and it is not draining. Fails with Unauthenticated if no service knows
 * the credential.
 */
Result<std::string> entryAnswer(GatewayComponents&, const Coordinator&, const RequestMessage&);

} // namespace yuccashift
