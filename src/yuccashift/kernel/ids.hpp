#pragma once

#include <cstdint>
#include <string>

namespace yuccashift {

using InstanceId = std::string;
using RegionName = std::string;
using DatacentreName = std::string;
using ServiceName = std::string;
using BackendName = std::string;
using OrganisationName = std::string;

/** One run of an instance's process. A later start has a larger number. */
using Incarnation = std::uint64_t;
/** Revision of a service document; only ever replaced by a larger one. */
using Revision = std::uint64_t;

/** Host and port of a listener, `ip:port` in settings and documents. */
struct Endpoint {
    std::string host;
    std::uint16_t port = 0;

    bool operator==(const Endpoint&) const = default;
};

/** `ip:port`, or nothing where the text is not one. */
bool parseEndpoint(const std::string& text, Endpoint&);
std::string toString(const Endpoint&);

} // namespace yuccashift
