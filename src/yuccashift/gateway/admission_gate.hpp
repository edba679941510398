#pragma once

#include "yuccashift/admission/admission_queue.hpp"
#include "yuccashift/routing/types.hpp"

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <memory>
#include <mutex>
#include <unordered_map>

namespace yuccashift {

/** What a gate believes of the backend servers behind it, for a request of these traits. */
using GateStates = std::function<std::vector<BackendState>(const RequestTraits&)>;

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

    AdmissionGate(const Clock&, ServiceName, GateStates);
    ~AdmissionGate();

    /** Waits for room. QueueFull, DeadlineUnreachable or Overloaded where there will be none in time. */
    boost::asio::awaitable<Result<std::unique_ptr<Permit>>> admit(const RequestTraits&, double weight, std::size_t queueLimit);
    /** Admits and expires what is due; to be called regularly, since reports change the room. */
    void poll();

    std::size_t waiting() const;
    std::uint32_t inProgress() const;
    /** Expected wait of such a request in this queue. */
    Duration expectedWait(const RequestTraits&) const;

private:
    struct Waiter;

    bool mayPass(const RequestTraits&) const;
    WaitingRequest makeWaiting(const RequestTraits&, double weight) const;
    RequestTraits traitsOf(Priority) const;
    std::size_t roomFor(Priority) const;
    void admitDue();
    void release(Duration held);
    void tell(std::uint64_t id, std::optional<ErrorKind>);

    const Clock& m_clock;
    const ServiceName m_service;
    const GateStates m_states;
    mutable std::mutex m_mutex;
    AdmissionQueue m_queue;
    std::unordered_map<std::uint64_t, std::shared_ptr<Waiter>> m_waiters;
    std::uint64_t m_lastId = 0;
    std::uint32_t m_inProgress = 0;
    Duration m_meanService {};
};

} // namespace yuccashift
