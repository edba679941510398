#include "yuccashift/kernel/error.hpp"

#include <algorithm>
#include <array>

namespace yuccashift {

namespace {

    using enum ErrorKind;
    using enum RunState;

    // traits() indexes the table by ErrorKind, so the rows must be in the order of the enumeration.
    constexpr auto table = std::to_array<ErrorTraits>({
        { MalformedRequest, "malformed_request", 400, NotRun, false, 0, "the request could not be parsed" },
        { HeaderTooLarge, "header_too_large", 431, NotRun, false, 0, "the header exceeds its bound" },
        { BodyTooLarge, "body_too_large", 413, NotRun, false, 0, "the body exceeds its bound" },
        { SlowSender, "slow_sender", 408, NotRun, true, 0, "the request did not arrive in time" },
        { TooManyConnections, "too_many_connections", 503, NotRun, true, 1, "the instance has no connection to spare" },
        { MemoryExhausted, "memory_exhausted", 503, NotRun, true, 1, "the instance has no memory to spare for the request" },
        { Unauthenticated, "unauthenticated", 401, NotRun, false, 0, "the credential is missing or unknown" },
        { Forbidden, "forbidden", 403, NotRun, false, 0, "the organisation may not use this" },
        { UnknownService, "unknown_service", 404, NotRun, false, 0, "no document describes this service" },
        { UnknownRoute, "unknown_route", 404, NotRun, false, 0, "the service has no such route" },
        { UnknownModel, "unknown_model", 404, NotRun, false, 0, "no service offers this model" },
        { ResidencyViolation, "residency_violation", 403, NotRun, false, 0, "no allowed region can take the request" },
        { HopLimit, "hop_limit", 508, NotRun, true, 1, "the request was forwarded too often" },
        { KeyRequired, "idempotency_key_required", 428, NotRun, true, 0, "send again with the offered idempotency key" },
        { KeyConflict, "idempotency_key_conflict", 422, NotRun, false, 0, "the idempotency key belongs to another request" },
        { KeyExpired, "idempotency_key_expired", 410, OutcomeUnknown, false, 0, "the idempotency key is no longer remembered" },
        { KeyOwnerUnreachable, "idempotency_key_owner_unreachable", 503, OutcomeUnknown, true, 2, "the instance that holds the key cannot be asked" },
        { KeyTableFull, "idempotency_table_full", 503, NotRun, true, 5, "no room to remember another key" },
        { InProgress, "in_progress", 409, OutcomeUnknown, true, 1, "the same request is still running" },
        { LimitExceeded, "limit_exceeded", 429, NotRun, true, 1, "the organisation is over its limit" },
        { QueueFull, "queue_full", 503, NotRun, true, 1, "the queue of this service is full" },
        { DeadlineUnreachable, "deadline_unreachable", 503, NotRun, true, 1, "the request cannot finish before its deadline" },
        { DeadlineExceeded, "deadline_exceeded", 504, OutcomeUnknown, false, 0, "the deadline passed before the answer was complete" },
        { NoBackend, "no_backend", 503, NotRun, true, 2, "no backend server can take the request" },
        { SoftwareUnavailable, "software_unavailable", 503, NotRun, true, 1, "no backend server runs the software version that began the stream" },
        { Overloaded, "overloaded", 503, NotRun, true, 1, "every allowed region is overloaded" },
        { Draining, "draining", 503, NotRun, true, 0, "the instance is stopping; use another one" },
        { NotReady, "not_ready", 503, NotRun, true, 1, "the instance has not yet learned its documents" },
        { Quarantined, "quarantined", 422, NotRun, false, 60, "this request has crashed backend servers" },
        { BackendRefused, "backend_refused", 502, NotRun, true, 1, "the backend server refused the request" },
        { BackendLost, "backend_lost", 502, OutcomeUnknown, false, 0, "the backend server was lost with the request in progress" },
        { AnswerIncomplete, "answer_incomplete", 502, OutcomeUnknown, false, 0, "the answer ended without its end mark" },
        { PeerLost, "peer_lost", 502, OutcomeUnknown, false, 0, "the executing instance was lost with the request in progress" },
        { Cancelled, "cancelled", 499, OutcomeUnknown, false, 0, "the caller went away" },
        { BadSettings, "bad_settings", 500, NotRun, false, 0, "the settings are not valid" },
        { BadDocument, "bad_document", 500, NotRun, false, 0, "the service document is not valid" },
        { Internal, "internal", 500, OutcomeUnknown, false, 0, "an unexpected failure" },
    });

    static_assert(table.size() == static_cast<std::size_t>(Internal) + 1);

} // namespace

std::span<const ErrorTraits> errorTable()
{
    return table;
}

const ErrorTraits& traits(ErrorKind kind)
{
    return table[static_cast<std::size_t>(kind)];
}

std::string_view toString(RunState state)
{
    switch (state) {
    case RunState::NotRun:
        return "not run";
    case RunState::Ran:
        return "ran";
    case RunState::OutcomeUnknown:
        break;
    }
    return "outcome unknown";
}

RunState Error::effectiveRunState() const
{
    return runState.value_or(traits(kind).runState);
}

std::string_view Error::code() const
{
    return traits(kind).code;
}

tl::unexpected<Error> fail(ErrorKind kind, std::string detail)
{
    return tl::unexpected(Error { kind, std::move(detail), {}, {} });
}

ErrorKind errorKindFromCode(std::string_view code)
{
    const auto it = std::ranges::find(table, code, &ErrorTraits::code);
    return it == table.end() ? Internal : it->kind;
}

} // namespace yuccashift
