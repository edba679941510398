#include "yuccashift/membership/packed_loads.hpp"

#include "peer_types.h"

#include <algorithm>
#include <boost/endian/conversion.hpp>
#include <cmath>

namespace yuccashift {

namespace {

    constexpr std::int32_t maxCount = 255;
    constexpr std::int32_t ageStepMs = 200;
    constexpr std::uint8_t maxAgeSteps = 127;
    constexpr std::uint8_t leavingFlag = 128;
    // Quantities are stored in logarithmic steps. With this many steps per doubling, 255 steps cover all 32-bit values.
    constexpr double stepsPerDoubling = 8;
    constexpr std::size_t hashBytes = 8;

    std::uint8_t packCount(std::int32_t count)
    {
        return static_cast<std::uint8_t>(std::clamp(count, 0, maxCount));
    }

    std::uint8_t packQuantity(std::int32_t quantity)
    {
        const double steps = stepsPerDoubling * std::log2(1.0 + std::max(quantity, 0));
        return static_cast<std::uint8_t>(std::clamp<long>(std::lround(steps), 0, maxCount));
    }

    std::int32_t unpackQuantity(std::uint8_t steps)
    {
        const double quantity = std::exp2(steps / stepsPerDoubling) - 1;
        return static_cast<std::int32_t>(std::min<double>(std::round(quantity), std::numeric_limits<std::int32_t>::max()));
    }

    std::uint8_t packAge(const wire::BackendLoad& load)
    {
        const auto age = static_cast<std::uint8_t>(std::clamp<std::int32_t>(load.ageMs / ageStepMs, 0, maxAgeSteps));
        return load.leaving ? age | leavingFlag : age;
    }

    wire::BackendLoad unpackLoad(const unsigned char* bytes)
    {
        wire::BackendLoad load;
        load.backend = boost::endian::endian_load<std::int64_t, hashBytes, boost::endian::order::big>(bytes);
        bytes += hashBytes;
        load.running = *bytes++;
        load.waiting = *bytes++;
        load.queuedTokens = unpackQuantity(*bytes++);
        load.decodeTokensPerSecond = unpackQuantity(*bytes++);
        load.ageMs = (*bytes & maxAgeSteps) * ageStepMs;
        load.leaving = (*bytes & leavingFlag) != 0;
        return load;
    }

} // namespace

std::string packLoads(std::span<const wire::BackendLoad> loads)
{
    std::string packed;
    packed.reserve(loads.size() * packedLoadBytes);
    for (const auto& load : loads.first(std::min(loads.size(), maxPackedLoads))) {
        std::array<unsigned char, hashBytes> hash {};
        boost::endian::endian_store<std::int64_t, hashBytes, boost::endian::order::big>(hash.data(), load.backend);
        packed.append(hash.begin(), hash.end());
        packed += static_cast<char>(packCount(load.running));
        packed += static_cast<char>(packCount(load.waiting));
        packed += static_cast<char>(packQuantity(load.queuedTokens));
        packed += static_cast<char>(packQuantity(load.decodeTokensPerSecond));
        packed += static_cast<char>(packAge(load));
    }
    return packed;
}

std::vector<wire::BackendLoad> unpackLoads(std::string_view packed)
{
    const auto count = std::min(packed.size() / packedLoadBytes, maxPackedLoads);
    const auto* bytes = reinterpret_cast<const unsigned char*>(packed.data());
    std::vector<wire::BackendLoad> loads;
    loads.reserve(count);
    for (std::size_t n = 0; n < count; ++n)
        loads.push_back(unpackLoad(bytes + n * packedLoadBytes));
    return loads;
}

} // namespace yuccashift
