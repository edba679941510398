#pragma once

#include "yuccashift/kernel/ids.hpp"

#include <cstdint>
#include <string_view>

namespace yuccashift {

/** Hash that identifies one version of the software of one service's backend servers; 0 if it is not known. */
using SoftwareId = std::uint64_t;
/** The same on all instances and never 0; an empty version is a version like any other. */
SoftwareId softwareIdOf(const ServiceName&, std::string_view version);

/**
 * The software that wrote the events of a stream so far. Only servers that run
 * the same version may continue the stream, because the events of two versions
 * do not fit together and servers do not check this.
 */
class StreamSoftware {
public:
    /** A stream without events, which any server may begin. */
    StreamSoftware() = default;
    /** A stream whose first event was written by this software; with 0 no server may continue it. */
    static StreamSoftware begunBy(SoftwareId);

    /** Records that the caller gets events written by this software; only the first events have an effect. */
    void onEvents(SoftwareId);

    bool begun() const { return m_begun; }
    /** The software that began the stream; 0 if it is unknown or the stream has no events. */
    SoftwareId software() const { return m_software; }
    /** Whether a server with this software may write the next event. */
    bool allows(SoftwareId server) const { return !m_begun || (m_software != 0 && m_software == server); }

private:
    bool m_begun = false;
    SoftwareId m_software = 0;
};

} // namespace yuccashift
