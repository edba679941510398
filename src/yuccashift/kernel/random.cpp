#include "yuccashift/kernel/random.hpp"

namespace yuccashift {

RandomSource::~RandomSource() = default;

std::uint64_t RandomSource::uniformBelow(std::uint64_t bound)
{
    return bound == 0 ? 0 : next() % bound;
}

double RandomSource::uniformReal()
{
    constexpr int mantissaBits = 53;
    constexpr double scale = 1.0 / static_cast<double>(std::uint64_t(1) << mantissaBits);
    return static_cast<double>(next() >> (64 - mantissaBits)) * scale;
}

SeededRandom::SeededRandom(std::uint64_t seed)
    : m_engine(seed)
{
}

std::uint64_t SeededRandom::next()
{
    return m_engine();
}

std::unique_ptr<RandomSource> makeSystemRandom()
{
    std::random_device device;
    const auto high = static_cast<std::uint64_t>(device());
    return std::make_unique<SeededRandom>((high << 32) | device());
}

} // namespace yuccashift
