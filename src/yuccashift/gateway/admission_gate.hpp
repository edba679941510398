#pragma once

#include "yuccashift/admission/admission_queue.hpp"
#include "yuccashift/routing/types.hpp"

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <memory>
#include <mutex>
#include <unordered_map>

namespace yuccashift {

/** Returns the known state of the service's backend servers for a request of these traits. */
using BackendStateProvider = std::function<std::vector<BackendState>(const RequestTraits&)>;

/**
 * Admits as many requests of one service as its backend servers have free
 * capacity for, and keeps the others in an AdmissionQueue. Thread safe under
 * one lock per service.
 */
class AdmissionGate {
public:
    /** Admission of one request; releases its capacity when destroyed. */
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

    AdmissionGate(const Clock&, ServiceName, BackendStateProvider);
    ~AdmissionGate();

    /**
     * Waits until the request is admitted. Fails with QueueFull if the queue is
     * full or a later request displaced this one, with DeadlineUnreachable if
     * the deadline cannot be met, with Cancelled if the coroutine is cancelled, and
     * with Overloaded if the wait is aborted otherwise.
     *
     * @param weight weight of the organisation in the queue's fair sharing
     * @param queueLimit number of requests that may wait
     */
    boost::asio::awaitable<Result<std::unique_ptr<Permit>>> admit(const RequestTraits&, double weight, std::size_t queueLimit);
    /** Admits and expires waiting requests; to be called regularly, since load reports change the free capacity. */
    void poll();

    /** Number of waiting requests. */
    std::size_t waiting() const;
    /** Number of admitted requests that have not ended. */
    std::uint32_t inProgress() const;
    /** Expected queue wait of a request of these traits. */
    Duration expectedWait(const RequestTraits&) const;

private:
    struct Waiter;

    bool canAdmitNow(const RequestTraits&) const;
    WaitingRequest makeWaitingRequest(const RequestTraits&, double weight) const;
    RequestTraits traitsOf(Priority) const;
    std::size_t freeCapacityFor(Priority) const;
    void admitWaiting();
    void release(Duration serviceTime);
    void notifyWaiter(std::uint64_t id, std::optional<ErrorKind>);
    /** Ends the wait of a cancelled request; `admitted` if it has received its admission. */
    void withdraw(std::uint64_t id, Waiter&, bool admitted);

    const Clock& m_clock;
    const ServiceName m_service;
    const BackendStateProvider m_backendStates;
    mutable std::mutex m_mutex;
    AdmissionQueue m_queue;
    std::unordered_map<std::uint64_t, std::shared_ptr<Waiter>> m_waiters;
    std::uint64_t m_lastId = 0;
    std::uint32_t m_inProgress = 0;
    Duration m_meanServiceTime {};
};

} // namespace yuccashift
