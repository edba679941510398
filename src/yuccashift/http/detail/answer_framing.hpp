#pragma once

#include "yuccashift/http/message.hpp"

#include <boost/beast/http/basic_parser.hpp>

namespace yuccashift::detail {

/** The framing of the answer whose head the parser has read. */
inline AnswerFraming framingOf(const boost::beast::http::basic_parser<false>& parser)
{
    if (parser.chunked())
        return AnswerFraming::Chunks;
    return parser.need_eof() ? AnswerFraming::Connection : AnswerFraming::Length;
}

} // namespace yuccashift::detail
