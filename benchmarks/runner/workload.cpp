#include "benchmarks/runner/workload.hpp"

#include "yuccashift/kernel/random.hpp"

#include <algorithm>
#include <cmath>

namespace yuccashift::runner {
namespace {

    constexpr std::uint32_t blockTokens = 64;
    constexpr std::uint32_t systemPrompts = 12;
    constexpr std::uint32_t sessions = 200;
    constexpr std::uint32_t blocksPerLevel = 8;
    constexpr std::uint32_t organisations = 10;
    constexpr std::uint32_t callersPerRegion = 40;
    constexpr double fastestArrival = 1e-6;

    double exponential(double mean, RandomSource& random)
    {
        return -mean * std::log(1 - random.uniformReal());
    }

    Duration fromSeconds(double value)
    {
        return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(value));
    }

    RequestClass drawClass(bool plain, RandomSource& random)
    {
        double draw = random.uniformReal();
        std::size_t last = 0;
        for (std::size_t n = 0; n < classCount; ++n) {
            if (classSpecs()[n].plain != plain)
                continue;
            last = n;
            draw -= classSpecs()[n].share;
            if (draw < 0)
                break;
        }
        return static_cast<RequestClass>(last);
    }

    /** Block hashes of a system prompt, a session below it and a part of its own. */
    void fillPrompt(Arrival& arrival, std::uint32_t tailTokens, std::uint64_t serial, RandomSource& random)
    {
        // Squaring the draw makes some sessions far more frequent than others.
        const double skewed = random.uniformReal();
        const auto session = static_cast<std::uint64_t>(skewed * skewed * sessions);
        const std::uint64_t system = session % systemPrompts;
        auto& blocks = arrival.traits.prefixBlocks;
        for (std::uint64_t n = 0; n < blocksPerLevel; ++n)
            blocks.push_back((system + 1) << 8 | n);
        for (std::uint64_t n = 0; n < blocksPerLevel; ++n)
            blocks.push_back((session + 1) << 20 | n);
        for (std::uint64_t n = 0; n < tailTokens / blockTokens; ++n)
            blocks.push_back((serial + 1) << 32 | n);
        arrival.traits.promptTokens = 2 * blocksPerLevel * blockTokens + tailTokens;
    }

    Arrival makeArrival(const WorkloadSpec& spec, bool plain, std::size_t region, std::uint64_t serial, RandomSource& random)
    {
        Arrival arrival;
        arrival.kind = drawClass(plain, random);
        arrival.region = region;
        arrival.caller = random.uniformBelow(callersPerRegion);
        const auto& kind = classSpecs()[static_cast<std::size_t>(arrival.kind)];
        auto& traits = arrival.traits;
        traits.service = plain ? plainService : modelService;
        traits.organisation = "organisation-" + std::to_string(random.uniformBelow(organisations));
        traits.priority = kind.priority;
        traits.idempotent = kind.idempotent;
        traits.allowedRegions = spec.regions;
        if (random.uniformReal() < spec.homeBound)
            traits.allowedRegions = { spec.regions[region] };
        if (plain) {
            constexpr double fixedService = 0.02;
            constexpr double variableService = 0.015;
            arrival.service = fromSeconds(fixedService + exponential(variableService, random));
            return arrival;
        }
        traits.model = "yucca";
        traits.expectedOutputTokens = kind.outputTokens;
        arrival.tokens = std::max(1U, static_cast<std::uint32_t>(kind.outputTokens * (0.5 + random.uniformReal())));
        fillPrompt(arrival, kind.tailTokens, serial, random);
        return arrival;
    }

    struct Stream {
        bool plain = false;
        std::size_t region = 0;
        double rate = 0;
        /** Organisation that all requests belong to; empty draws one. */
        OrganisationName organisation;
        std::function<double(double)> shape;
        double peak = 1;
    };

    /** A Poisson stream whose rate changes, by thinning one at its peak rate. */
    void addStream(const WorkloadSpec& spec, const Stream& stream, Instant start, std::uint64_t& serial, RandomSource& random, std::vector<Arrival>& arrivals)
    {
        const double length = std::chrono::duration<double>(spec.length).count();
        const double peakRate = std::max(fastestArrival, stream.rate * stream.peak);
        for (double time = exponential(1 / peakRate, random); time < length; time += exponential(1 / peakRate, random)) {
            if (random.uniformReal() * stream.peak >= stream.shape(time))
                continue;
            auto arrival = makeArrival(spec, stream.plain, stream.region, ++serial, random);
            if (!stream.organisation.empty())
                arrival.traits.organisation = stream.organisation;
            arrival.at = start + fromSeconds(time);
            arrivals.push_back(std::move(arrival));
        }
    }

    double peakOf(const std::function<double(double)>& shape, double length)
    {
        double peak = 0;
        for (double time = 0; time < length; time += 1)
            peak = std::max(peak, shape(time));
        return peak;
    }

} // namespace

const std::array<ClassSpec, classCount>& classSpecs()
{
    static const std::array<ClassSpec, classCount> specs { {
        { "validation", true, Priority::Urgent, seconds(1), true, 0, 0, 0.8 },
        { "redemption", true, Priority::Urgent, seconds(2), false, 0, 0, 0.2 },
        { "schedule", false, Priority::Urgent, seconds(10), true, 192, 80, 0.2 },
        { "question", false, Priority::Normal, seconds(10), true, 128, 60, 0.5 },
        { "itinerary", false, Priority::Batch, seconds(60), true, 256, 160, 0.3 },
    } };
    return specs;
}

std::vector<Arrival> makeArrivals(const WorkloadSpec& spec, Instant start, std::uint64_t seed)
{
    SeededRandom random(seed);
    std::vector<Arrival> arrivals;
    std::uint64_t serial = 0;
    const double length = std::chrono::duration<double>(spec.length).count();
    for (std::size_t region = 0; region < spec.regions.size(); ++region) {
        for (const bool plain : { true, false }) {
            Stream stream { plain, region, (plain ? spec.plainRate : spec.modelRate) * spec.regionShares[region], {}, [](double) { return 1.0; }, 1 };
            if (spec.shape)
                stream.shape = [&spec, region](double time) { return spec.shape(time, region); };
            stream.peak = peakOf(stream.shape, length);
            addStream(spec, stream, start, serial, random, arrivals);
            if (!spec.noisy)
                continue;
            stream.organisation = "noisy";
            stream.shape = spec.noisy;
            stream.peak = peakOf(spec.noisy, length);
            addStream(spec, stream, start, serial, random, arrivals);
        }
    }
    for (const double time : spec.poisonAt) {
        auto arrival = makeArrival(spec, false, 0, ++serial, random);
        arrival.at = start + fromSeconds(time);
        arrival.poison = true;
        arrivals.push_back(std::move(arrival));
    }
    std::sort(arrivals.begin(), arrivals.end(), [](const Arrival& left, const Arrival& right) { return left.at < right.at; });
    for (auto& arrival : arrivals)
        arrival.traits.deadline = arrival.at + classSpecs()[static_cast<std::size_t>(arrival.kind)].deadline;
    return arrivals;
}

} // namespace yuccashift::runner
