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

/** Identifies one run of an instance's process; increases with each restart. */
using Incarnation = std::uint64_t;
/** Revision of a service document. A document is replaced only by one with a larger revision. */
using Revision = std::uint64_t;

/** Host and port of a listener, written `ip:port` in settings and documents. */
struct Endpoint {
    std::string host;
    std::uint16_t port = 0;

    bool operator==(const Endpoint&) const = default;
};

/** Parses `host:port`. Returns false and leaves the endpoint unchanged if the text is malformed. */
bool parseEndpoint(const std::string& text, Endpoint&);
std::string toString(const Endpoint&);

} // namespace yuccashift
