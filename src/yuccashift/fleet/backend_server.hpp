#pragma once

#include "yuccashift/kernel/clock.hpp"
#include "yuccashift/kernel/ids.hpp"

#include <cstdint>
#include <string>

namespace yuccashift {

/** One start of a backend server. Its address may later belong to another one. */
struct ServerIdentity {
    std::string id;
    /** Unix milliseconds of its start; 0 where the entry does not say. */
    std::int64_t startedAtMs = 0;

    bool operator==(const ServerIdentity&) const = default;
};

/** Short hash, equal on all instances and never 0; heartbeats name servers by it. */
std::uint64_t hashOf(const ServerIdentity&);

/** A backend server as the platform's list describes it. */
struct BackendServer {
    ServerIdentity identity;
    /** Hash of the identity. */
    std::uint64_t identityHash = 0;
    ServiceName service;
    Endpoint address;
    DatacentreName datacentre;
    /** Requests that it works on at once. */
    std::uint32_t slots = 1;
    bool draining = false;
    /** Whether it runs models, and so batches requests. */
    bool engine = false;
    /** Until then it is cold: it takes few requests a second. */
    Instant coldUntil {};
};

} // namespace yuccashift
