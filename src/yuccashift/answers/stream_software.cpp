#include "yuccashift/answers/stream_software.hpp"

#include "yuccashift/kernel/hash.hpp"

#include <algorithm>
#include <array>

namespace yuccashift {

SoftwareId softwareIdOf(const ServiceName& service, std::string_view version)
{
    const std::array<std::string_view, 2> parts { service, version };
    return std::max<SoftwareId>(1, hash64(parts));
}

StreamSoftware StreamSoftware::begunBy(SoftwareId software)
{
    StreamSoftware it;
    it.onEvents(software);
    return it;
}

void StreamSoftware::onEvents(SoftwareId software)
{
    if (m_begun)
        return;
    m_begun = true;
    m_software = software;
}

} // namespace yuccashift
