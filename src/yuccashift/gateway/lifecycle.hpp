#pragma once

#include <atomic>
#include <cstdint>

namespace yuccashift {

/** Tracks whether an instance is draining and how many requests it handles. Thread safe. */
class Lifecycle {
public:
    /** Counts one request as in progress from construction to destruction. */
    class Guard {
    public:
        explicit Guard(Lifecycle& lifecycle)
            : m_lifecycle(lifecycle)
        {
            ++m_lifecycle.m_inProgress;
        }
        ~Guard() { --m_lifecycle.m_inProgress; }
        Guard(const Guard&) = delete;
        Guard& operator=(const Guard&) = delete;

    private:
        Lifecycle& m_lifecycle;
    };

    /** Starts draining: new requests are refused from now on. Draining cannot be undone. */
    void drain() { m_draining = true; }
    bool draining() const { return m_draining; }
    /** Number of requests in progress. */
    std::uint32_t inProgress() const { return m_inProgress; }

private:
    std::atomic<bool> m_draining { false };
    std::atomic<std::uint32_t> m_inProgress { 0 };
};

} // namespace yuccashift
