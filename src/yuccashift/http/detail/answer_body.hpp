#pragma once

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/optional.hpp>
#include <cstdint>
#include <string>

namespace yuccashift::detail {

/** Body of an answer. Unlike string_body, it grows with the bytes that arrive and reserves nothing for the length that the sender announces. */
struct AnswerBody {
    using value_type = std::string;

    class Reader {
    public:
        template <bool isRequest, typename Fields>
        Reader(boost::beast::http::header<isRequest, Fields>&, value_type& body)
            : m_body(body)
        {
        }

        static void init(const boost::optional<std::uint64_t>&, boost::system::error_code& ec) { ec = {}; }

        template <typename ConstBufferSequence>
        std::size_t put(const ConstBufferSequence& buffers, boost::system::error_code& ec)
        {
            ec = {};
            const auto before = m_body.size();
            for (auto it = boost::asio::buffer_sequence_begin(buffers); it != boost::asio::buffer_sequence_end(buffers); ++it)
                m_body.append(static_cast<const char*>(it->data()), it->size());
            return m_body.size() - before;
        }

        static void finish(boost::system::error_code& ec) { ec = {}; }

    private:
        value_type& m_body;
    };
    using reader = Reader;
};

} // namespace yuccashift::detail
