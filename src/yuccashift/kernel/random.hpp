#pragma once

#include <cstdint>
#include <memory>
#include <random>

namespace yuccashift {

/** Source of randomness, passed to every decision that draws. Not thread safe. */
class RandomSource {
public:
    virtual ~RandomSource();
    /** 64 uniform bits. */
    virtual std::uint64_t next() = 0;
    /** Uniform in [0, bound); 0 where bound is 0. */
    std::uint64_t uniformBelow(std::uint64_t bound);
    /** Uniform in [0, 1). */
    double uniformReal();
};

/** Mersenne twister with a chosen seed. */
class SeededRandom final : public RandomSource {
public:
    explicit SeededRandom(std::uint64_t seed);
    std::uint64_t next() override;

private:
    std::mt19937_64 m_engine;
};

/** A generator seeded from the operating system. */
std::unique_ptr<RandomSource> makeSystemRandom();

} // namespace yuccashift
