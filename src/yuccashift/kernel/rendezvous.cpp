#include "yuccashift/kernel/rendezvous.hpp"

#include "yuccashift/kernel/hash.hpp"

#include <algorithm>

namespace yuccashift {

namespace {

    // FNV-1a instead of SHA-256, which is too expensive: the order of about 50 instance names is computed for each document.
    std::uint64_t fnv1a(std::string_view text)
    {
        std::uint64_t hash = 0xcbf29ce484222325U;
        for (const unsigned char c : text)
            hash = (hash ^ c) * 0x100000001b3U;
        return hash;
    }

} // namespace

std::uint64_t rendezvousWeight(std::uint64_t key, std::string_view instance)
{
    return mix64(key ^ mix64(fnv1a(instance)));
}

std::vector<InstanceId> rendezvousOrder(std::uint64_t key, std::span<const InstanceId> instances)
{
    return rendezvousTop(key, instances, instances.size());
}

std::vector<InstanceId> rendezvousTop(std::uint64_t key, std::span<const InstanceId> instances, std::size_t count)
{
    struct Weighted {
        std::uint64_t weight;
        const InstanceId* instance;
    };
    std::vector<Weighted> weighted;
    weighted.reserve(instances.size());
    for (const auto& instance : instances)
        weighted.push_back({ rendezvousWeight(key, instance), &instance });
    std::ranges::sort(weighted, [](const Weighted& left, const Weighted& right) {
        return left.weight != right.weight ? left.weight > right.weight : *left.instance < *right.instance;
    });
    std::vector<InstanceId> top;
    for (std::size_t n = 0; n < std::min(count, weighted.size()); ++n)
        top.push_back(*weighted[n].instance);
    return top;
}

} // namespace yuccashift
