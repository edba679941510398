#include "yuccashift/gateway/admission_gate.hpp"
#include "yuccashift/kernel/cancellation.hpp"

#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <gtest/gtest.h>

namespace yuccashift {
namespace {

    namespace asio = boost::asio;

    class AWaitingRequest : public testing::Test {
    protected:
        AWaitingRequest()
        {
            m_state.region = "sofia";
            m_state.slots = 1;
            m_state.ownInFlight = 5;
            m_state.meanServiceTime = milliseconds(10);
            m_request.allowedRegions = { "sofia" };
            m_request.service = "chat";
            m_request.deadline = m_clock.now() + seconds(60);
            asio::co_spawn(
                m_io,
                [this]() -> asio::awaitable<void> {
                    co_await asio::this_coro::throw_if_cancelled(false);
                    const auto permit = co_await m_gate.admit(m_request, 1, 10);
                    m_error = permit ? std::optional<ErrorKind>() : permit.error().kind;
                    m_inProgressWithin = m_gate.inProgress();
                },
                asio::bind_cancellation_slot(m_canceller.slot(), [this](const std::exception_ptr&) { m_ended = true; }));
            m_io.poll();
        }

        void runToTheEnd()
        {
            m_io.restart();
            while (!m_ended)
                m_io.run_one();
        }

        SystemClock m_clock;
        asio::io_context m_io;
        BackendState m_state;
        RequestTraits m_request;
        AdmissionGate m_gate { m_clock, "chat", [this](const RequestTraits&) { return std::vector { m_state }; } };
        Canceller m_canceller { m_io.get_executor() };
        std::optional<ErrorKind> m_error;
        std::uint32_t m_inProgressWithin = 0;
        bool m_ended = false;
    };

    // The request of a caller that had left kept its place in the queue, and was sent when its turn came.
    TEST_F(AWaitingRequest, LeavesTheQueueWhenItIsCancelled)
    {
        EXPECT_EQ(m_gate.waiting(), 1u);
        m_canceller.cancel();
        runToTheEnd();
        EXPECT_EQ(m_error, ErrorKind::Cancelled);
        EXPECT_EQ(m_gate.waiting(), 0u);
        EXPECT_EQ(m_gate.inProgress(), 0u);
    }

    TEST_F(AWaitingRequest, ReturnsItsCapacityWhenItIsCancelledAtItsAdmission)
    {
        // The signal is posted to the event loop and arrives before the message of the admission.
        m_canceller.cancel();
        m_state.ownInFlight = 0;
        m_gate.poll();
        EXPECT_EQ(m_gate.inProgress(), 1u);
        runToTheEnd();
        EXPECT_EQ(m_error, ErrorKind::Cancelled);
        EXPECT_EQ(m_gate.waiting(), 0u);
        EXPECT_EQ(m_gate.inProgress(), 0u);
    }

    TEST_F(AWaitingRequest, IsAdmittedOnceThereIsRoom)
    {
        m_state.ownInFlight = 0;
        m_gate.poll();
        runToTheEnd();
        EXPECT_EQ(m_error, std::nullopt);
        EXPECT_EQ(m_inProgressWithin, 1u);
        EXPECT_EQ(m_gate.inProgress(), 0u);
    }

} // namespace
} // namespace yuccashift
