#pragma once

#include "yuccashift/document/fault.hpp"
#include "yuccashift/kernel/ids.hpp"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <tl/expected.hpp>

namespace yuccashift {

/** Listen addresses of an instance, by kind of client. */
struct ListenSettings {
    Endpoint callers;
    Endpoint peers;
    Endpoint operators;
};

/** Addresses of the services that the platform provides. */
struct PlatformSettings {
    Endpoint configService;
    Endpoint instanceList;
    /** OTLP/JSON trace collector; spans are not exported if it is absent. */
    std::optional<Endpoint> collector;
};

/** Limits and timeouts that protect an instance from its callers and from slow backend servers. */
struct InstanceLimits {
    /** Maximum number of open connections from callers. */
    std::uint32_t maxConnections = 4096;
    /** Maximum size of a request header, in bytes. */
    std::uint32_t maxHeaderBytes = 16 * 1024;
    /** Maximum size of a request body, in bytes. */
    std::uint32_t maxBodyBytes = 4 * 1024 * 1024;
    /** Memory that the process may use, with what the kernel keeps for its connections, in MiB. */
    std::uint32_t memoryMb = 256;
    /** Maximum time to receive a complete request. */
    std::chrono::milliseconds receiveTimeout { 10000 };
    /** Maximum time between bytes of a response before a backend connection is closed. */
    std::chrono::milliseconds progressTimeout { 10000 };
    /** Maximum number of idempotency keys in the key table. */
    std::uint32_t maxKeys = 100000;
    /** Validity period of an idempotency key. */
    std::chrono::milliseconds keyLifetime { 900000 };
};

/** Names of the registered routing policies to use. */
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
    /** Secret shared by all instances for peer authentication; must not be logged. */
    std::string peerKey;
    /** Bearer token that operators present; must not be logged. */
    std::string operatorToken;
    std::uint32_t threads = 2;
    InstanceLimits bounds;
    PolicySettings policies;
    std::string logLevel = "info";
};

/** Parses settings from YAML. Unknown keys are faults; returns all faults, not only the first. */
tl::expected<Settings, Faults> parseSettings(const std::string& text);

} // namespace yuccashift
