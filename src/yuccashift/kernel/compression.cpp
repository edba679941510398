#include "yuccashift/kernel/compression.hpp"

#include <boost/beast/zlib/deflate_stream.hpp>
#include <boost/beast/zlib/inflate_stream.hpp>

namespace yuccashift {

namespace zlib = boost::beast::zlib;

namespace {

    /** Compression takes little of a slow processor's time at this level; higher ones save few bytes of JSON. */
    constexpr int compressionLevel = 3;
    /** Largest window of the format, as a power of two. */
    constexpr int windowBits = 15;
    constexpr int memoryLevel = 8;
    /** Bytes that the decompressor may look ahead beyond the end of the data. */
    constexpr std::size_t lookAheadBytes = 4;

    zlib::z_params parameters(std::string_view in, std::string& out)
    {
        zlib::z_params params;
        params.next_in = in.data();
        params.avail_in = in.size();
        params.next_out = out.data();
        params.avail_out = out.size();
        return params;
    }

} // namespace

std::string compress(std::string_view bytes)
{
    zlib::deflate_stream stream;
    stream.reset(compressionLevel, windowBits, memoryLevel, zlib::Strategy::normal);
    std::string out(stream.upper_bound(bytes.size()), '\0');
    auto params = parameters(bytes, out);
    boost::beast::error_code ec;
    stream.write(params, zlib::Flush::finish, ec);
    out.resize(params.total_out);
    return out;
}

Result<std::string> decompress(std::string_view bytes, std::size_t size)
{
    zlib::inflate_stream stream;
    std::string padded(bytes);
    padded.append(lookAheadBytes, '\0');
    // One byte more than expected, so that data that expands further does not look complete.
    std::string out(size + 1, '\0');
    auto params = parameters(padded, out);
    boost::beast::error_code ec;
    stream.write(params, zlib::Flush::sync, ec);
    if (ec != zlib::error::end_of_stream)
        return fail(ErrorKind::MalformedRequest, "compressed data is damaged: " + (ec ? ec.message() : "it does not end"));
    if (params.total_out != size)
        return fail(ErrorKind::MalformedRequest, "compressed data expands to " + std::to_string(params.total_out) + " bytes instead of " + std::to_string(size));
    out.resize(size);
    return out;
}

} // namespace yuccashift
