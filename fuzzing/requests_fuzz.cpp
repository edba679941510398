#include "fuzzing/support/check.hpp"
#include "yuccashift/http/request_reader.hpp"

#include <algorithm>
#include <array>
#include <deque>
#include <utility>

namespace yuccashift::fuzzing {
namespace {

    constexpr RequestSizeLimits limits { 256, 128 };
    /** Estimates of the reader count what a buffer of this size and the fields of one request take. */
    constexpr std::size_t maxHeldBytes = 64 * 1024;

    struct Written {
        std::string target;
        std::string body;
    };

    /** Writes sound requests on one connection, then input that is none, and reads all in parts of any size. */
    class RequestsSimulation {
    public:
        explicit RequestsSimulation(std::string_view mutant)
            : m_mutant(mutant)
        {
        }

        std::optional<std::string> apply(const Step& step)
        {
            if (m_failed)
                return std::nullopt;
            write(step);
            std::string part = std::exchange(m_unread, {});
            const auto size = 1 + pick(step.c, part.size());
            m_unread = part.substr(size);
            part.resize(size);
            if (m_mutant == "a part is read twice" && pick(step.b, 8) == 0)
                part += part;
            return read(part);
        }

    private:
        void write(const Step& step)
        {
            constexpr std::uint32_t kinds = 12;
            const auto kind = pick(step.action, kinds);
            if (m_hostile || kind >= 3 + hostilePieces.size()) {
                m_unread += m_hostile ? hostilePieces[m_hostilePiece].second : std::string_view();
                if (m_unread.empty())
                    writeSound(step);
                return;
            }
            if (kind < 3)
                return writeSound(step);
            m_hostile = true;
            m_hostilePiece = kind - 3;
            m_unread += hostilePieces[m_hostilePiece].first;
        }

        void writeSound(const Step& step)
        {
            Written request { "/" + std::to_string(m_written++), std::string(pick(step.a, limits.maxBodyBytes + 1), static_cast<char>('a' + pick(step.b, 26))) };
            m_unread += "POST " + request.target + " HTTP/1.1\r\nHost: a\r\n";
            if (pick(step.a, 2) == 0) {
                m_unread += "Content-Length: " + std::to_string(request.body.size()) + "\r\n\r\n" + request.body;
            } else {
                m_unread += "Transfer-Encoding: chunked\r\n\r\n";
                for (const char c : request.body)
                    m_unread += std::string("1;x=y\r\n") + c + "\r\n";
                m_unread += "0\r\nTrailer: t\r\n\r\n";
            }
            m_expected.push_back(std::move(request));
        }

        std::optional<std::string> read(const std::string& part)
        {
            m_reader.append(part);
            while (!m_failed) {
                if (const auto advanced = m_reader.advance(limits); !advanced) {
                    m_failed = true;
                    if (!m_hostile)
                        return "a sound request was refused: " + std::string(advanced.error().code());
                    return std::nullopt;
                }
                if (!m_reader.complete())
                    break;
                if (auto violation = take())
                    return violation;
            }
            const auto allowed = m_mutant == "no byte may wait" ? 0 : limits.maxHeaderBytes;
            if (m_reader.bufferedBytes() > allowed)
                return "more bytes are kept than the limit of a header";
            if (m_reader.heldBytes() > maxHeldBytes)
                return "more memory is held than the limits of one request allow";
            return std::nullopt;
        }

        std::optional<std::string> take()
        {
            auto received = m_reader.take();
            if (m_mutant == "a byte of a body is lost" && !received.message.body.empty())
                received.message.body.pop_back();
            if (m_expected.empty())
                return "a request was read that nobody wrote";
            const auto expected = std::move(m_expected.front());
            m_expected.pop_front();
            if (received.message.method != "POST" || received.message.target != expected.target || received.message.body != expected.body)
                return "a request was read otherwise than it was written";
            return std::nullopt;
        }

        using Piece = std::pair<std::string_view, std::string_view>;
        /** The beginning of input that is no request within the limits, and what follows it again and again. */
        static constexpr std::array<Piece, 9> hostilePieces { {
            { "POST /h HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n", "T: 0123456789\r\n" },
            { "POST /h HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1;", "0123456789" },
            { "POST /h HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n", "3\r\nabc\r\n" },
            { "POST /h HTTP/1.1\r\nContent-Length: 129\r\n\r\n", "x" },
            { "POST /h HTTP/1.1\r\nX: ", "0123456789" },
            { "POST /h HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n", "0\r\n\r\n" },
            { "POST /h HTTP/1.1\r\nContent-Length: -1\r\n\r\n", "GET /hidden HTTP/1.1\r\n\r\n" },
            { "\x01\x02", "\xff" },
            { "POST /h HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nfffffffffffffffff\r\n", "x" },
        } };

        std::string m_mutant;
        RequestReader m_reader;
        std::string m_unread;
        std::deque<Written> m_expected;
        unsigned m_written = 0;
        bool m_hostile = false;
        std::size_t m_hostilePiece = 0;
        bool m_failed = false;
    };

    class RequestsCheck final : public Check {
    public:
        std::vector<std::string> mutants() const override { return { "a part is read twice", "no byte may wait", "a byte of a body is lost" }; }

        std::optional<std::string> run(std::span<const Step> steps, std::string_view mutant) override
        {
            RequestsSimulation simulation(mutant);
            for (const auto& step : steps) {
                if (auto violation = simulation.apply(step))
                    return violation;
            }
            return std::nullopt;
        }
    };

    const Registrar<Check, RequestsCheck> registered { "requests" };

} // namespace
} // namespace yuccashift::fuzzing
