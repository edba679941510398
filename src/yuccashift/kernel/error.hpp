#pragma once

#include "yuccashift/kernel/clock.hpp"

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace yuccashift {

/** Every way in which a request can fail. The list is closed: see errorTable(). */
enum class ErrorKind {
    MalformedRequest,
    HeaderTooLarge,
    BodyTooLarge,
    SlowSender,
    TooManyConnections,
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

/** What is known about whether a failed request ran on a backend server. */
enum class RunState {
    NotRun,
    Ran,
    OutcomeUnknown,
};

/** One row of the table from error kind to answer. */
struct ErrorTraits {
    ErrorKind kind;
    /** Stable code in answers and logs, in snake case. */
    std::string_view code;
    int httpStatus;
    RunState runState;
    /** Whether sending the same request with the same key again is safe. */
    bool retrySafe;
    /** Seconds for Retry-After; 0 leaves the header out. */
    int retryAfterSeconds;
    /** One line for callers. */
    std::string_view summary;
};

/** The whole table, one row for each kind, in the order of the kinds. */
std::span<const ErrorTraits> errorTable();

/** The row of one kind. */
const ErrorTraits& traits(ErrorKind);

/** `not run`, `ran` or `outcome unknown`. */
std::string_view toString(RunState);

/** A failure with its kind and a detail for people. Details never hold secrets. */
struct Error {
    ErrorKind kind = ErrorKind::Internal;
    std::string detail;
    /** Overrides the run state of the table where more is known. */
    std::optional<RunState> runState;
    /** Overrides Retry-After of the table. */
    std::optional<Duration> retryAfter;

    RunState effectiveRunState() const;
    std::string_view code() const;
};

template <typename T>
using Result = tl::expected<T, Error>;

/** Shorthand for returning a failure from a function with a Result. */
tl::unexpected<Error> fail(ErrorKind, std::string detail = {});

/** The kind with this code, for errors that cross processes; Internal where unknown. */
ErrorKind errorKindFromCode(std::string_view code);

} // namespace yuccashift
