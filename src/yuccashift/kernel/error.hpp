#pragma once

#include "yuccashift/kernel/clock.hpp"

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace yuccashift {

/** All error kinds. errorTable() has one row for each of them. */
enum class ErrorKind {
    MalformedRequest,
    HeaderTooLarge,
    BodyTooLarge,
    SlowSender,
    TooManyConnections,
    MemoryExhausted,
    Unauthenticated,
    Forbidden,
    UnknownService,
    UnknownRoute,
    UnknownModel,
    ResidencyViolation,
    HopLimit,
    KeyRequired,
    KeyConflict,
    KeyExpired,
    KeyOwnerUnreachable,
    KeyTableFull,
    InProgress,
    LimitExceeded,
    QueueFull,
    DeadlineUnreachable,
    DeadlineExceeded,
    NoBackend,
    SoftwareUnavailable,
    Overloaded,
    Draining,
    NotReady,
    Quarantined,
    BackendRefused,
    BackendLost,
    AnswerIncomplete,
    PeerLost,
    Cancelled,
    BadSettings,
    BadDocument,
    Internal,
};

/** Whether a failed request was executed by a backend server, as far as is known. */
enum class RunState {
    NotRun,
    Ran,
    OutcomeUnknown,
};

/** Properties of one error kind; one row of errorTable(). */
struct ErrorTraits {
    ErrorKind kind;
    /** Stable snake_case code in responses and logs. */
    std::string_view code;
    int httpStatus;
    RunState runState;
    /** Whether it is safe to retry the request with the same idempotency key. */
    bool retrySafe;
    /** Value of the Retry-After header in seconds; 0 omits the header. */
    int retryAfterSeconds;
    /** One-line description that is sent to callers. */
    std::string_view summary;
};

/** The properties of all error kinds, in the order of the enumeration. */
std::span<const ErrorTraits> errorTable();

/** The properties of one error kind. */
const ErrorTraits& traits(ErrorKind);

/** Returns `not run`, `ran` or `outcome unknown`. */
std::string_view toString(RunState);

/** An error with its kind and a human-readable detail, which must not contain secrets. */
struct Error {
    ErrorKind kind = ErrorKind::Internal;
    std::string detail;
    /** Overrides ErrorTraits::runState if more is known about this request. */
    std::optional<RunState> runState;
    /** Overrides ErrorTraits::retryAfterSeconds. */
    std::optional<Duration> retryAfter;
    /** The latest time to name instead, if callers are to come back spread over a time that is known; only with `retryAfter`. */
    std::optional<Duration> retryBefore {};

    RunState effectiveRunState() const;
    std::string_view code() const;
};

template <typename T>
using Result = tl::expected<T, Error>;

/** Creates the error value of a function that returns a Result. */
tl::unexpected<Error> fail(ErrorKind, std::string detail = {});

/** Parses an error code received from another process; returns Internal for an unknown code. */
ErrorKind errorKindFromCode(std::string_view code);

} // namespace yuccashift
