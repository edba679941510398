#pragma once

#include <atomic>
#include <cstdint>

namespace yuccashift {

/** Where an instance is between its start and its stop. Thread safe. */
class Lifecycle {
public:
    /** Counts one request in progress for as long as it lives. */
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

    /** From now on no new work is taken; there is no way back. */
    void drain() { m_draining = true; }
    bool draining() const { return m_draining; }
    std::uint32_t inProgress() const { return m_inProgress; }

private:
    std::atomic<bool> m_draining { false };
    std::atomic<std::uint32_t> m_inProgress { 0 };
};

} // namespace yuccashift
