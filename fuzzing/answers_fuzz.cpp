#include "fuzzing/support/check.hpp"
#include "yuccashift/answers/answer_stream_tracker.hpp"

#include <map>

namespace yuccashift::fuzzing {
namespace {

    struct Frame {
        enum class Kind { Head,
            Chunk,
            End };
        StreamId id;
        Kind kind = Kind::Head;
        std::uint64_t offset = 0;
        std::string data;
        std::uint64_t length = 0;
    };

    struct Request {
        std::string answer;
        std::string received;
        int endCount = 0;
    };

    /** Sends the answers of several requests over a link that loses, duplicates, reorders and delays frames. */
    class AnswersSimulation {
    public:
        explicit AnswersSimulation(std::string_view mutant)
            : m_mutant(mutant)
        {
        }

        std::optional<std::string> apply(const Step& step)
        {
            enum class Action { Open,
                DeliverFirst,
                DeliverAny,
                Duplicate,
                Lose,
                Cancel,
                Reconnect,
                Count };
            constexpr int deliveries = 6;
            const auto action = pick(step.action, static_cast<std::size_t>(Action::Count) + deliveries);
            switch (static_cast<Action>(action)) {
            case Action::Open:
                open(step);
                break;
            case Action::DeliverAny:
                deliver(pick(step.a, m_wire.size()));
                break;
            case Action::Duplicate:
                duplicateFrame(pick(step.a, m_wire.size()));
                break;
            case Action::Lose:
                lose(pick(step.a, m_wire.size()));
                break;
            case Action::Cancel:
                cancel(step);
                break;
            case Action::Reconnect:
                reconnect();
                break;
            default:
                deliver(0);
            }
            return m_violation;
        }

    private:
        bool is(std::string_view mutant) const { return m_mutant == mutant; }

        void open(const Step& step)
        {
            const auto id = m_ledger.open();
            std::string answer;
            const auto parts = pick(step.a, 5);
            m_wire.push_back({ id, Frame::Kind::Head, 0, {}, 0 });
            for (std::uint32_t n = 0; n < parts; ++n) {
                const auto part = std::to_string(id.stream) + "/" + std::to_string(n) + ";";
                m_wire.push_back({ id, Frame::Kind::Chunk, answer.size(), part, 0 });
                answer += part;
            }
            m_wire.push_back({ id, Frame::Kind::End, 0, {}, answer.size() });
            m_requests[id] = { answer, {}, 0 };
            m_latest = id;
        }

        void deliver(std::size_t position)
        {
            if (m_wire.empty())
                return;
            auto frame = m_wire[position];
            m_wire.erase(m_wire.begin() + static_cast<std::ptrdiff_t>(position));
            if (is("frames go to the latest stream"))
                frame.id = m_latest;
            process(frame);
        }

        Result<FrameAction> classifyFrame(const Frame& frame)
        {
            switch (frame.kind) {
            case Frame::Kind::Head:
                return m_ledger.onHead(frame.id);
            case Frame::Kind::Chunk:
                return m_ledger.onChunk(frame.id, frame.offset, frame.data.size());
            case Frame::Kind::End:
                return m_ledger.onEnd(frame.id, is("length is not compared") ? m_ledger.deliveredBytes(frame.id) : frame.length);
            }
            return FrameAction::Drop;
        }

        void process(const Frame& frame)
        {
            const bool wasOpen = m_ledger.isOpen(frame.id);
            auto use = classifyFrame(frame);
            if (is("doubled chunks are delivered") && wasOpen && use && *use == FrameAction::Drop)
                use = FrameAction::Deliver;
            if (is("late chunks are delivered") && !wasOpen && use && *use == FrameAction::Drop)
                use = FrameAction::Deliver;
            auto& request = m_requests.at(frame.id);
            if (!use) {
                end(request, is("a gap is taken for the end"));
                return;
            }
            if (*use == FrameAction::Drop)
                return;
            request.received += frame.data;
            if (request.endCount > 0 && !frame.data.empty())
                m_violation = "bytes after the answer's end";
            if (frame.kind == Frame::Kind::End)
                end(request, true);
        }

        void end(Request& request, bool whole)
        {
            if (++request.endCount > 1)
                m_violation = "an answer ended twice";
            if (whole && request.received != request.answer)
                m_violation = "an answer passed as whole is not the caller's own: " + request.received;
        }

        void duplicateFrame(std::size_t position)
        {
            if (!m_wire.empty())
                m_wire.push_back(m_wire[position]);
        }

        void lose(std::size_t position)
        {
            if (!m_wire.empty())
                m_wire.erase(m_wire.begin() + static_cast<std::ptrdiff_t>(position));
        }

        void cancel(const Step& step)
        {
            if (m_requests.empty())
                return;
            auto it = std::next(m_requests.begin(), pick(step.a, m_requests.size()));
            if (!m_ledger.isOpen(it->first))
                return;
            m_ledger.close(it->first);
            end(it->second, false);
        }

        // Frames of the old connection stay on the wire and arrive after the reconnection.
        void reconnect()
        {
            for (const auto& id : m_ledger.reconnect())
                end(m_requests.at(id), is("a lost connection ends the answer"));
        }

        std::string m_mutant;
        AnswerStreamTracker m_ledger;
        std::vector<Frame> m_wire;
        std::map<StreamId, Request> m_requests;
        StreamId m_latest;
        std::optional<std::string> m_violation;
    };

    class AnswersCheck final : public Check {
    public:
        std::vector<std::string> mutants() const override
        {
            return { "frames go to the latest stream", "length is not compared", "doubled chunks are delivered",
                "late chunks are delivered", "a gap is taken for the end", "a lost connection ends the answer" };
        }

        std::optional<std::string> run(std::span<const Step> steps, std::string_view mutant) override
        {
            AnswersSimulation simulation(mutant);
            for (const auto& step : steps) {
                if (auto violation = simulation.apply(step))
                    return violation;
            }
            return std::nullopt;
        }
    };

    const Registrar<Check, AnswersCheck> registered { "answers" };

} // namespace
} // namespace yuccashift::fuzzing
