#include "yuccashift/gateway/admission_gate.hpp"

#include "yuccashift/admission/capacity_gate.hpp"
#include "yuccashift/kernel/cancellation.hpp"
#include "yuccashift/kernel/detail/await.hpp"
#include "yuccashift/routing/region_load_tracker.hpp"

#include <boost/asio/experimental/concurrent_channel.hpp>

namespace yuccashift {

namespace asio = boost::asio;

namespace {

    constexpr std::size_t initialQueueLimit = 256;
    /** Weight of the newest sample in the moving average of the service time. */
    constexpr double serviceTimeSmoothing = 0.1;

} // namespace

/** A waiting coroutine. Its channel receives one message: std::nullopt on admission, or the reason of the refusal. */
struct AdmissionGate::Waiter {
    using Channel = asio::experimental::concurrent_channel<void(boost::system::error_code, std::optional<ErrorKind>)>;

    explicit Waiter(const asio::any_io_executor& executor)
        : channel(executor, 1)
    {
    }

    Channel channel;
};

AdmissionGate::Permit::Permit(AdmissionGate& gate, Instant admittedAt)
    : m_gate(gate)
    , m_admittedAt(admittedAt)
{
}

AdmissionGate::Permit::~Permit()
{
    m_gate.release(m_gate.m_clock.now() - m_admittedAt);
}

AdmissionGate::AdmissionGate(const Clock& clock, ServiceName service, BackendStateProvider states)
    : m_clock(clock)
    , m_service(std::move(service))
    , m_backendStates(std::move(states))
    , m_queue(initialQueueLimit)
{
}

AdmissionGate::~AdmissionGate() = default;

// A new request is admitted ahead of the queue only if its priority is above that of every waiting request.
bool AdmissionGate::canAdmitNow(const RequestTraits& traits) const
{
    const auto next = m_queue.nextPriority();
    const bool first = !next || traits.priority < *next;
    return first && hasFreeCapacity(traits, m_backendStates(traits), m_clock.now());
}

WaitingRequest AdmissionGate::makeWaitingRequest(const RequestTraits& traits, double weight) const
{
    return { m_lastId, traits.organisation, weight, traits.priority, traits.deadline, m_meanServiceTime };
}

asio::awaitable<Result<std::unique_ptr<AdmissionGate::Permit>>> AdmissionGate::admit(const RequestTraits& traits, double weight, std::size_t queueLimit)
{
    const auto waiter = std::make_shared<Waiter>(co_await asio::this_coro::executor);
    std::uint64_t id = 0;
    {
        const std::lock_guard lock(m_mutex);
        const auto now = m_clock.now();
        if (canAdmitNow(traits)) {
            ++m_inProgress;
            co_return std::make_unique<Permit>(*this, now);
        }
        id = ++m_lastId;
        const auto request = makeWaitingRequest(traits, weight);
        m_queue.setLimit(queueLimit);
        const auto pushed = m_queue.push(request, admissionInterval(traits, m_backendStates(traits), now), now);
        if (!pushed)
            co_return tl::unexpected(pushed.error());
        m_waiters.emplace(request.id, waiter);
        if (pushed->displaced)
            notifyWaiter(*pushed->displaced, ErrorKind::QueueFull);
        admitWaiting();
    }
    const auto [ec, refusal] = co_await waiter->channel.async_receive(detail::awaitTuple);
    const bool cancelled = co_await isCancelled();
    if (ec || cancelled) {
        withdraw(id, *waiter, !ec && !refusal);
        co_return fail(cancelled ? ErrorKind::Cancelled : ErrorKind::Overloaded);
    }
    if (refusal)
        co_return fail(*refusal);
    co_return std::make_unique<Permit>(*this, m_clock.now());
}

// The request may have been admitted in the meantime, and the message of that not been received.
void AdmissionGate::withdraw(std::uint64_t id, Waiter& waiter, bool admitted)
{
    const std::lock_guard lock(m_mutex);
    m_queue.cancel(id);
    if (m_waiters.erase(id) > 0)
        return;
    if (!admitted)
        waiter.channel.try_receive([&admitted](const boost::system::error_code&, const std::optional<ErrorKind>& refusal) { admitted = !refusal; });
    if (!admitted)
        return;
    --m_inProgress;
    admitWaiting();
}

void AdmissionGate::poll()
{
    const std::lock_guard lock(m_mutex);
    admitWaiting();
}

RequestTraits AdmissionGate::traitsOf(Priority priority) const
{
    RequestTraits traits;
    traits.service = m_service;
    traits.priority = priority;
    return traits;
}

/** Number of requests of this priority that may be admitted now. */
std::size_t AdmissionGate::freeCapacityFor(Priority priority) const
{
    auto traits = traitsOf(priority);
    const auto states = m_backendStates(traits);
    // The servers of this region; whether a request may run in it has been decided before it waits.
    for (const auto& state : states)
        traits.allowedRegions.push_back(state.region);
    const auto now = m_clock.now();
    if (!hasFreeCapacity(traits, states, now))
        return 0;
    const auto load = aggregateLoad(states, now);
    return std::max<std::size_t>(load.slots - std::min(load.slots, load.busySlots), 1);
}

// An admitted request counts as load of a server only after it has been sent, so
// the requests admitted in one call are counted against the free capacity.
void AdmissionGate::admitWaiting()
{
    const auto now = m_clock.now();
    std::size_t admitted = 0;
    for (auto next = m_queue.nextPriority(); next && admitted < freeCapacityFor(*next); next = m_queue.nextPriority()) {
        const auto request = m_queue.pop(now);
        if (!request)
            break;
        ++admitted;
        ++m_inProgress;
        notifyWaiter(request->id, std::nullopt);
    }
    for (const auto id : m_queue.expire(now))
        notifyWaiter(id, ErrorKind::DeadlineUnreachable);
}

void AdmissionGate::release(Duration serviceTime)
{
    const std::lock_guard lock(m_mutex);
    --m_inProgress;
    const auto sample = std::chrono::duration_cast<Duration>(serviceTime * serviceTimeSmoothing);
    m_meanServiceTime = m_meanServiceTime == Duration::zero() ? serviceTime : std::chrono::duration_cast<Duration>(m_meanServiceTime * (1 - serviceTimeSmoothing)) + sample;
    admitWaiting();
}

void AdmissionGate::notifyWaiter(std::uint64_t id, std::optional<ErrorKind> refusal)
{
    const auto it = m_waiters.find(id);
    if (it == m_waiters.end())
        return;
    it->second->channel.try_send(boost::system::error_code(), refusal);
    m_waiters.erase(it);
}

std::size_t AdmissionGate::waiting() const
{
    const std::lock_guard lock(m_mutex);
    return m_queue.size();
}

std::uint32_t AdmissionGate::inProgress() const
{
    const std::lock_guard lock(m_mutex);
    return m_inProgress;
}

Duration AdmissionGate::expectedWait(const RequestTraits& traits) const
{
    const std::lock_guard lock(m_mutex);
    return m_queue.expectedWait(makeWaitingRequest(traits, 1), admissionInterval(traits, m_backendStates(traits), m_clock.now()));
}

} // namespace yuccashift
