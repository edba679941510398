#pragma once

#include "yuccashift/admission/admission_queue.hpp"

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <memory>
#include <mutex>
#include <unordered_map>

namespace yuccashift {

/** Load of one service as its gate needs it. */
struct GateCapacity {
    /** Slots believed free on the region's backend servers. */
    std::uint32_t freeSlots = 0;
    /** This instance's even share of all slots, which it may always use. */
    std::uint32_t share = 1;
};

/**
 * Lets as many requests of one service proceed as its backend servers have
 * room for, and keeps the others in an AdmissionQueue. Thread safe under one
 * lock for each service.
 */
class AdmissionGate {
public:
    /** Place of an admitted request; gives its room back when destroyed. */
    class Permit {
    public:
        Permit(AdmissionGate&, Instant admittedAt);
        ~Permit();
        Permit(const Permit&) = delete;
        Permit& operator=(const Permit&) = delete;

    private:
        AdmissionGate& m_gate;
        Instant m_admittedAt;
    };

    AdmissionGate(const Clock&, std::function<GateCapacity()>);
    ~AdmissionGate();

    /** Waits for room. QueueFull, DeadlineUnreachable or Overloaded where there will be none in time. */
    boost::asio::awaitable<Result<std::unique_ptr<Permit>>> admit(WaitingRequest, std::size_t queueLimit);
    /** Admits and expires what is due; to be called regularly, since reports change the room. */
    void poll();

    std::size_t waiting() const;
    std::uint32_t inProgress() const;
    /** Expected wait of a request of normal priority. */
    Duration expectedWait() const;

private:
    struct Waiter;

    std::uint32_t capacity() const;
    Duration interval() const;
    void admitDue();
    void release(Duration held);
    void tell(std::uint64_t id, std::optional<ErrorKind>);

    const Clock& m_clock;
    const std::function<GateCapacity()> m_capacity;
    mutable std::mutex m_mutex;
    AdmissionQueue m_queue;
    std::unordered_map<std::uint64_t, std::shared_ptr<Waiter>> m_waiters;
    std::uint64_t m_lastId = 0;
    std::uint32_t m_inProgress = 0;
    Duration m_meanService {};
};

} // namespace yuccashift
