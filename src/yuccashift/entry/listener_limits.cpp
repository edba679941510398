#include "yuccashift/entry/listener_limits.hpp"

#include <algorithm>

namespace yuccashift {

namespace {

    constexpr double callerDescriptorShare = 0.6;
    constexpr double instanceDescriptorShare = 0.2;
    constexpr double directoryDescriptorShare = 0.03;
    constexpr std::size_t minDirectoryConnections = 16;
    constexpr std::size_t operatorConnections = 16;

    /** Share of the memory for connections that idle connections of callers may take, and what one of them takes. */
    constexpr std::size_t idleDivisor = 2;
    constexpr std::size_t idleConnectionBytes = 8 * 1024;

    /** Headers of instances hold the header of a caller and their own fields. */
    constexpr std::size_t instanceHeaderFactor = 2;
    constexpr std::size_t instanceBodyFactor = 2;
    constexpr milliseconds instanceIdleTimeout { 30000 };

    /** Questions to an instance itself have no body. */
    constexpr std::size_t questionBodyBytes = 1024;

    InboundLimits questions(std::size_t connections)
    {
        InboundLimits limits;
        limits.maxBodyBytes = questionBodyBytes;
        limits.maxConnections = connections;
        return limits;
    }

} // namespace

ListenerLimits::ListenerLimits(const EntrySettings& settings)
    : m_memoryBytes(settings.memoryBytes)
    , m_maxDescriptors(settings.maxFileDescriptors)
{
}

std::size_t ListenerLimits::descriptors(double share) const
{
    return static_cast<std::size_t>(share * static_cast<double>(m_maxDescriptors));
}

InboundLimits ListenerLimits::callers(InboundLimits configured) const
{
    const auto forIdle = MemoryAccount::limitFor(m_memoryBytes) / idleDivisor / idleConnectionBytes;
    configured.maxConnections = std::min(descriptors(callerDescriptorShare), forIdle);
    return configured;
}

InboundLimits ListenerLimits::instances(InboundLimits configured) const
{
    configured.maxHeaderBytes *= instanceHeaderFactor;
    configured.maxBodyBytes *= instanceBodyFactor;
    configured.headerTimeout = InboundLimits().headerTimeout;
    configured.idleTimeout = instanceIdleTimeout;
    configured.maxConnections = descriptors(instanceDescriptorShare);
    return configured;
}

InboundLimits ListenerLimits::directory() const
{
    return questions(std::max(minDirectoryConnections, descriptors(directoryDescriptorShare)));
}

InboundLimits ListenerLimits::operators() const
{
    return questions(operatorConnections);
}

} // namespace yuccashift
