#include "yuccashift/http/request_reader.hpp"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/beast/http.hpp>
#include <optional>

namespace yuccashift {

namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

    /** Memory of one header field beyond its text, in the parser or in a message. */
    constexpr std::size_t fieldBytes = 128;
    /** A buffer of this size is kept for the next request. */
    constexpr std::size_t keptBufferBytes = 2 * 1024;

    ErrorKind kindOf(const error_code& ec)
    {
        if (ec == http::error::header_limit || ec == http::error::buffer_overflow)
            return ErrorKind::HeaderTooLarge;
        if (ec == http::error::body_limit)
            return ErrorKind::BodyTooLarge;
        return ErrorKind::MalformedRequest;
    }

    /** Memory of the header fields. */
    std::size_t sizeOf(const http::fields& fields)
    {
        std::size_t sum = 0;
        for (const auto& field : fields)
            sum += field.name_string().size() + field.value().size() + fieldBytes;
        return sum;
    }

    /**
     * Whether the end of the body is certain. A transfer coding other than `chunked` leaves it open where the request ends, and
     * an HTTP/1.0 sender that names any may not mean it (RFC 9112, section 6).
     */
    bool hasCertainLength(const http::request<http::string_body>& request)
    {
        const auto codings = request.count(http::field::transfer_encoding);
        if (codings == 0)
            return true;
        return codings == 1 && request.version() >= 11 && boost::beast::iequals(request[http::field::transfer_encoding], "chunked");
    }

    HeaderFields copyOf(const http::fields& fields)
    {
        HeaderFields headers;
        headers.reserve(16);
        for (const auto& field : fields)
            headers.push_back({ std::string(field.name_string()), std::string(field.value()) });
        return headers;
    }

} // namespace

/** The request in progress. */
struct RequestReader::State {
    explicit State(const RequestSizeLimits& sizes)
        : limits(sizes)
    {
        parser.header_limit(static_cast<std::uint32_t>(limits.maxHeaderBytes));
        parser.body_limit(limits.maxBodyBytes);
    }

    /** Separates the fields of the header from those of a trailer, which must not count as such (RFC 9110, section 6.5.1). */
    void takeHeader()
    {
        headers = copyOf(parser.get());
        headerBytes = sizeOf(parser.get());
        parser.get().clear();
        parser.eager(true);
    }

    RequestSizeLimits limits;
    http::request_parser<http::string_body> parser;
    /** The fields of the header, once it is complete. The parser gathers those of the trailer. */
    std::optional<HeaderFields> headers;
    std::size_t headerBytes = 0;
};

RequestReader::RequestReader() = default;

RequestReader::~RequestReader() = default;

void RequestReader::append(std::string_view bytes)
{
    m_input.append(bytes);
}

Result<void> RequestReader::advance(const RequestSizeLimits& limits)
{
    if (m_input.empty() || complete())
        return {};
    if (!m_state)
        m_state = std::make_unique<State>(limits);
    auto& parser = m_state->parser;
    error_code ec;
    std::size_t parsed = 0;
    while (parsed < m_input.size() && !parser.is_done()) {
        const auto n = parser.put(boost::asio::const_buffer(m_input.data() + parsed, m_input.size() - parsed), ec);
        parsed += n;
        if (ec || n == 0)
            break;
        if (parser.is_header_done() && !m_state->headers) {
            if (!hasCertainLength(parser.get())) {
                clear();
                return fail(ErrorKind::MalformedRequest, "Transfer-Encoding: only `chunked` is supported");
            }
            m_state->takeHeader();
        }
    }
    m_input.erase(0, parsed);
    if (m_input.empty() && m_input.capacity() > keptBufferBytes)
        m_input = {};
    if (ec && ec != http::error::need_more)
        return fail(kindOf(ec));
    // The parser has no limit for trailers and the lines of chunks, of which it needs the end first.
    if (!parser.is_done() && m_input.size() > m_state->limits.maxHeaderBytes)
        return fail(ErrorKind::HeaderTooLarge);
    return {};
}

bool RequestReader::idle() const
{
    return !m_state && m_input.empty();
}

bool RequestReader::headerComplete() const
{
    return m_state && m_state->headers.has_value();
}

bool RequestReader::expectsContinue() const
{
    return headerComplete() && boost::beast::iequals(findHeader(*m_state->headers, "Expect").value_or(""), "100-continue");
}

bool RequestReader::complete() const
{
    return m_state && m_state->parser.is_done();
}

ReceivedRequest RequestReader::take()
{
    ReceivedRequest received;
    received.keepAlive = m_state->parser.keep_alive();
    received.http10 = m_state->parser.get().version() < 11;
    received.bytes = m_state->headerBytes;
    auto request = m_state->parser.release();
    received.message.method = std::string(request.method_string());
    received.message.target = std::string(request.target());
    received.message.headers = std::move(*m_state->headers);
    received.message.body = std::move(request.body());
    received.bytes += received.message.target.size() + received.message.body.capacity();
    m_state.reset();
    return received;
}

std::size_t RequestReader::bufferedBytes() const
{
    return m_input.size();
}

std::size_t RequestReader::heldBytes() const
{
    std::size_t sum = m_input.capacity() > keptBufferBytes ? m_input.capacity() : 0;
    if (!m_state)
        return sum;
    const auto& body = m_state->parser.get().body();
    // The memory of an announced body is reserved, but not used before its bytes arrive.
    const bool announced = m_state->parser.is_header_done() && m_state->parser.content_length().has_value();
    return sum + m_state->headerBytes + (announced ? body.size() : body.capacity());
}

void RequestReader::clear()
{
    m_state.reset();
    m_input = {};
}

} // namespace yuccashift
