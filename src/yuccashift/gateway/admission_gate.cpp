#include "yuccashift/gateway/admission_gate.hpp"

#include "yuccashift/kernel/detail/await.hpp"

#include <boost/asio/experimental/concurrent_channel.hpp>

namespace yuccashift {

namespace asio = boost::asio;

namespace {

    constexpr std::size_t initialLimit = 256;
    /** Weight of the newest request in the mean time for which one is in progress. */
    constexpr double smoothing = 0.1;

} // namespace

/** A waiting coroutine: told once, either that it may go on or why not. */
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

AdmissionGate::AdmissionGate(const Clock& clock, std::function<GateCapacity()> capacity)
    : m_clock(clock)
    , m_capacity(std::move(capacity))
    , m_queue(initialLimit)
{
}

AdmissionGate::~AdmissionGate() = default;

std::uint32_t AdmissionGate::capacity() const
{
    const auto room = m_capacity();
    return std::max({ room.share, m_inProgress + room.freeSlots, 1U });
}

Duration AdmissionGate::interval() const
{
    return m_meanService / std::max(capacity(), 1U);
}

asio::awaitable<Result<std::unique_ptr<AdmissionGate::Permit>>> AdmissionGate::admit(WaitingRequest request, std::size_t queueLimit)
{
    const auto waiter = std::make_shared<Waiter>(co_await asio::this_coro::executor);
    {
        const std::lock_guard lock(m_mutex);
        const auto now = m_clock.now();
        // Nobody waits, so there is no order to keep.
        if (m_queue.size() == 0 && m_inProgress < capacity()) {
            ++m_inProgress;
            co_return std::make_unique<Permit>(*this, now);
        }
        m_queue.setLimit(queueLimit);
        request.id = ++m_lastId;
        if (request.expectedService == Duration::zero())
            request.expectedService = m_meanService;
        const auto pushed = m_queue.push(request, interval(), now);
        if (!pushed)
            co_return tl::unexpected(pushed.error());
        m_waiters.emplace(request.id, waiter);
        if (pushed->displaced)
            tell(*pushed->displaced, ErrorKind::QueueFull);
        admitDue();
    }
    const auto [ec, refusal] = co_await waiter->channel.async_receive(detail::awaitTuple);
    if (ec)
        co_return fail(ErrorKind::Overloaded);
    if (refusal)
        co_return fail(*refusal);
    co_return std::make_unique<Permit>(*this, m_clock.now());
}

void AdmissionGate::poll()
{
    const std::lock_guard lock(m_mutex);
    admitDue();
}

void AdmissionGate::admitDue()
{
    const auto now = m_clock.now();
    while (m_queue.size() > 0 && m_inProgress < capacity()) {
        const auto next = m_queue.pop(now);
        if (!next)
            break;
        ++m_inProgress;
        tell(next->id, std::nullopt);
    }
    for (const auto id : m_queue.expire(now))
        tell(id, ErrorKind::DeadlineUnreachable);
}

void AdmissionGate::release(Duration held)
{
    const std::lock_guard lock(m_mutex);
    --m_inProgress;
    const auto sample = std::chrono::duration_cast<Duration>(held * smoothing);
    m_meanService = m_meanService == Duration::zero() ? held : std::chrono::duration_cast<Duration>(m_meanService * (1 - smoothing)) + sample;
    admitDue();
}

void AdmissionGate::tell(std::uint64_t id, std::optional<ErrorKind> refusal)
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

Duration AdmissionGate::expectedWait() const
{
    const std::lock_guard lock(m_mutex);
    WaitingRequest request;
    request.priority = Priority::Normal;
    request.deadline = Instant::max();
    return m_queue.expectedWait(request, interval());
}

} // namespace yuccashift
