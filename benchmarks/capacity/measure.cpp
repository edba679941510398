#include "benchmarks/capacity/measure.hpp"

#include <algorithm>
#include <array>
#include <atomic>
#include <cstdlib>
#include <ctime>
#include <iostream>
#include <malloc.h>
#include <new>

namespace {

std::atomic<std::int64_t> heapInUse { 0 };

// Size of the header that the allocator adds to each block.
constexpr std::int64_t blockHeaderBytes = 8;

} // namespace

// The program counts its heap in operator new and delete, because the resident set
// of a process changes in whole pages and hides small structures.
void* operator new(std::size_t size)
{
    void* block = std::malloc(size);
    if (block == nullptr)
        throw std::bad_alloc();
    heapInUse += static_cast<std::int64_t>(malloc_usable_size(block)) + blockHeaderBytes;
    return block;
}

void operator delete(void* block) noexcept
{
    if (block != nullptr)
        heapInUse -= static_cast<std::int64_t>(malloc_usable_size(block)) + blockHeaderBytes;
    std::free(block);
}

void operator delete(void* block, std::size_t) noexcept
{
    operator delete(block);
}

namespace yuccashift::capacity {

double threadMicroseconds()
{
    timespec time {};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) * 1e6 + static_cast<double>(time.tv_nsec) / 1e3;
}

namespace {

    double timeOf(const std::function<void()>& call, std::size_t times)
    {
        const double start = threadMicroseconds();
        for (std::size_t n = 0; n < times; ++n)
            call();
        return threadMicroseconds() - start;
    }

} // namespace

double microsecondsOf(const std::function<void()>& call)
{
    constexpr double minRoundMicroseconds = 5000;
    constexpr std::size_t rounds = 7;
    std::size_t times = 1;
    while (timeOf(call, times) < minRoundMicroseconds)
        times *= 2;
    std::array<double, rounds> costs {};
    for (auto& cost : costs)
        cost = timeOf(call, times) / static_cast<double>(times);
    std::ranges::sort(costs);
    return costs[rounds / 2];
}

std::int64_t heapBytes()
{
    return heapInUse.load();
}

double heapBytesKeptBy(const std::function<void()>& make)
{
    const auto before = heapBytes();
    make();
    return static_cast<double>(heapBytes() - before);
}

Slope measureSlope(std::string name, std::string unit, std::string against, std::initializer_list<double> sizes,
    const std::function<double(std::size_t size)>& cost)
{
    std::vector<Point> points;
    for (const double size : sizes)
        points.push_back({ size, cost(static_cast<std::size_t>(size)) });
    return fitLine(std::move(name), std::move(unit), std::move(against), std::move(points));
}

void addSlope(Slopes& slopes, Slope slope)
{
    std::cout << slope.name << ": " << slope.base << " + " << slope.perUnit << " " << slope.unit << " per " << slope.against << ", residue "
              << slope.residuePercent << " %\n";
    slopes[slope.name] = std::move(slope);
}

} // namespace yuccashift::capacity
