#pragma once

#include "yuccashift/entry/entry_settings.hpp"
#include "yuccashift/http/inbound.hpp"

namespace yuccashift {

/**
 * Limits of the listeners of one instance. They follow from the memory and the file descriptors of its settings, so
 * that full listeners leave both to servers, other instances and files.
 */
class ListenerLimits {
public:
    explicit ListenerLimits(const EntrySettings&);

    /** @param configured limits on requests that the published configuration names */
    InboundLimits callers(InboundLimits configured) const;
    /** For requests that other instances forward; these may follow another version of the configuration. */
    InboundLimits instances(InboundLimits configured) const;
    InboundLimits directory() const;
    /** For readiness probes and for metrics. */
    InboundLimits operators() const;

private:
    std::size_t descriptors(double share) const;

    std::size_t m_memoryBytes;
    std::size_t m_maxDescriptors;
};

} // namespace yuccashift
