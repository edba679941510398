#pragma once

#include "yuccashift/answers/stream_software.hpp"
#include "yuccashift/kernel/clock.hpp"
#include "yuccashift/kernel/ids.hpp"

#include <cstdint>
#include <string>

namespace yuccashift {

/** One run of a backend server, from its start to its exit. Its address may later belong to another server. */
struct ServerIdentity {
    std::string id;
    /** Start time in Unix milliseconds; 0 if the platform's entry does not state it. */
    std::int64_t startedAtMs = 0;

    bool operator==(const ServerIdentity&) const = default;
};

/** A 32-bit hash that is the same on all instances and never 0. Heartbeats identify servers by it. */
std::uint64_t hashOf(const ServerIdentity&);

/** A backend server as the platform's list describes it. */
struct BackendServer {
    ServerIdentity identity;
    /** Hash of the identity, see hashOf(). */
    std::uint64_t identityHash = 0;
    ServiceName service;
    /** Version of the server's software; empty if the platform's entry does not state it. Versions have no order. */
    std::string softwareVersion;
    /** Hash of service and version, see softwareIdOf(). */
    SoftwareId software = 0;
    Endpoint address;
    DatacentreName datacentre;
    /** Maximum number of requests that the server processes concurrently. */
    std::uint32_t slots = 1;
    bool draining = false;
    /** Whether the server runs models, which means that it batches requests. */
    bool engine = false;
    /** Until this time the server is cold and accepts only a few requests per second. */
    Instant coldUntil {};
    /** When the server itself last said how long it stays cold; the epoch if it has not. */
    Instant coldToldAt {};
};

} // namespace yuccashift
