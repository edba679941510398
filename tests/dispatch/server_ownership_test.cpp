#include "yuccashift/dispatch/server_ownership.hpp"

#include <algorithm>
#include <gtest/gtest.h>
#include <map>
#include <string>

namespace yuccashift {
namespace {

    constexpr std::uint64_t serverCount = 4000;

    std::vector<ServerOwnerCandidate> instances(int count)
    {
        std::vector<ServerOwnerCandidate> candidates;
        candidates.reserve(static_cast<std::size_t>(count));
        for (int n = 0; n < count; ++n)
            candidates.push_back({ "i" + std::to_string(n), n % 2 == 0 ? "east" : "west", 1 });
        return candidates;
    }

    std::map<std::uint64_t, InstanceId> ownersOf(const ServerOwnership& ownership)
    {
        std::map<std::uint64_t, InstanceId> owners;
        for (std::uint64_t server = 1; server <= serverCount; ++server)
            owners[server] = ownership.ownerOf(server, "east");
        return owners;
    }

    TEST(ServerOwners, AreTheSameWhateverTheOrderOfTheCandidates)
    {
        ServerOwnership one;
        ServerOwnership other;
        auto candidates = instances(40);
        one.setCandidates(candidates);
        std::ranges::reverse(candidates);
        other.setCandidates(candidates);
        EXPECT_EQ(ownersOf(one), ownersOf(other));
    }

    TEST(ServerOwners, OwnServersInProportionToTheirCapacity)
    {
        ServerOwnership ownership;
        ownership.setCandidates({ { "strong", "east", 4 }, { "weak", "east", 1 } });
        const auto owners = ownersOf(ownership);
        const auto strong = std::ranges::count_if(owners, [](const auto& it) { return it.second == "strong"; });
        // Four standard deviations of a share of 0.8 among the servers.
        EXPECT_NEAR(static_cast<double>(strong) / serverCount, 0.8, 0.026);
    }

    TEST(ServerOwners, KeepTheirServersWhenAnotherInstanceLeaves)
    {
        ServerOwnership ownership;
        auto candidates = instances(40);
        ownership.setCandidates(candidates);
        const auto before = ownersOf(ownership);
        candidates.erase(candidates.begin() + 38);
        ownership.setCandidates(candidates);
        for (const auto& [server, owner] : ownersOf(ownership)) {
            if (before.at(server) != "i38") {
                EXPECT_EQ(owner, before.at(server)) << server;
            }
        }
    }

    TEST(ServerOwners, AreInTheDataCentreOfTheServerIfItHasACandidate)
    {
        ServerOwnership ownership;
        ownership.setCandidates(instances(6));
        for (const auto& [server, owner] : ownersOf(ownership))
            EXPECT_EQ((owner.back() - '0') % 2, 0) << owner;
        ownership.setCandidates({ { "far", "west", 1 } });
        EXPECT_EQ(ownership.ownerOf(1, "east"), "far");
    }

    TEST(ServerOwners, AreUnknownWithoutCandidates)
    {
        EXPECT_EQ(ServerOwnership().ownerOf(1, "east"), "");
    }

} // namespace
} // namespace yuccashift
