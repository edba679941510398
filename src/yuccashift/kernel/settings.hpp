#pragma once

#include "yuccashift/document/fault.hpp"
#include "yuccashift/kernel/ids.hpp"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <tl/expected.hpp>

namespace yuccashift {

/** Addresses that an instance listens on. */
struct ListenSettings {
    Endpoint callers;
    Endpoint peers;
    Endpoint operators;
};

/** Addresses of what the platform publishes. */
struct PlatformSettings {
    Endpoint configService;
    Endpoint instanceList;
    /** OTLP/JSON collector; no spans are exported where absent. */
    std::optional<Endpoint> collector;
};

/** Bounds on what callers may use of one instance. */
struct InstanceLimits {
    std::uint32_t maxConnections = 4096;
    /** Bytes. */
    std::uint32_t maxHeaderBytes = 16 * 1024;
    /** Bytes. */
    std::uint32_t maxBodyBytes = 4 * 1024 * 1024;
    /** Time for a whole request to arrive. */
    std::chrono::milliseconds receiveTimeout { 10000 };
    /** Time without any byte of an answer before a backend connection is given up. */
    std::chrono::milliseconds progressTimeout { 10000 };
    /** Idempotency keys remembered at once. */
    std::uint32_t maxKeys = 100000;
    /** Time for which an idempotency key can be used. */
    std::chrono::milliseconds keyLifetime { 900000 };
};

/** Names of the plug-ins that decide. */
struct PolicySettings {
    std::string backend = "expected-latency";
    std::string region = "expected-latency";
    std::string entry = "capacity-locality";
};

/** Settings of one instance, read once when it starts. */
struct Settings {
    InstanceId instance;
    RegionName region;
    DatacentreName datacentre;
    ListenSettings listen;
    PlatformSettings platform;
    /** Shared secret of all instances; never logged. */
    std::string peerKey;
    /** Bearer credential of operators; never logged. */
    std::string operatorToken;
    std::uint32_t threads = 2;
    InstanceLimits bounds;
    PolicySettings policies;
    std::string logLevel = "info";
};

/** Parses settings; unknown keys are faults, and all faults are reported at once. */
tl::expected<Settings, Faults> parseSettings(const std::string& text);

} // namespace yuccashift
