#pragma once

#include <cstdint>
#include <memory>
#include <random>

namespace yuccashift {

/** Random number generator that is injected into randomised logic. Not thread-safe. */
class RandomSource {
public:
    virtual ~RandomSource();
    /** Returns 64 uniformly distributed bits. */
    virtual std::uint64_t next() = 0;
    /** Returns an integer in [0, bound), or 0 if bound is 0. Taken modulo bound, so uniform only if bound is far below 2^64. */
    std::uint64_t uniformBelow(std::uint64_t bound);
    /** Returns a uniformly distributed real number in [0, 1). */
    double uniformReal();
};

/** Mersenne Twister with a fixed seed, for reproducible sequences. */
class SeededRandom final : public RandomSource {
public:
    explicit SeededRandom(std::uint64_t seed);
    std::uint64_t next() override;

private:
    std::mt19937_64 m_engine;
};

/** Creates a generator that is seeded from the entropy source of the operating system. */
std::unique_ptr<RandomSource> makeSystemRandom();

} // namespace yuccashift
