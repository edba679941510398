#pragma once

#include "yuccashift/dispatch/acceptance.hpp"
#include "yuccashift/kernel/clock.hpp"
#include "yuccashift/kernel/ids.hpp"

#include <map>

namespace yuccashift {

/**
 * Measures the prompts that callers lately asked the engines of the own region to read, whether they were accepted or
 * not. Each instance counts what arrives there; heartbeats tell it to the others, so that all know nearly the same sum.
 */
class PromptDemand {
public:
    explicit PromptDemand(const Clock&);

    /** Counts a request once. @param prefill the time that an engine needs for the part of its prompt that is not cached */
    void record(const ServiceName&, std::size_t level, Duration prefill);
    /** Demand at this instance. */
    PromptLoads own(const ServiceName&) const;
    /** Demand at this instance, for heartbeats; without services that nobody asked for lately. */
    std::map<ServiceName, PromptLoads> own() const;
    /** Replaces what another instance of the region reports; an empty map removes it. */
    void setPeer(const InstanceId&, std::map<ServiceName, PromptLoads>);
    /**
     * Demand at all instances of the region whose reports are recent. An instance that hears nobody knows only its own
     * demand and so accepts too much: engines then read the more urgent prompts first.
     */
    PromptLoads total(const ServiceName&) const;
    /** Age of the oldest report that counts; zero if there is none. */
    Duration reportAge() const;

private:
    /** Decaying sum of prefill times, in engine-seconds. */
    struct Decaying {
        PromptLoads sums {};
        Instant at {};
    };
    struct Report {
        std::map<ServiceName, PromptLoads> loads;
        Instant receivedAt {};
    };
    static void decay(Decaying&, Instant now);

    const Clock& m_clock;
    std::map<ServiceName, Decaying> m_own;
    std::map<InstanceId, Report> m_peers;
};

} // namespace yuccashift
