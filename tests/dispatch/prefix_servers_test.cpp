#include "yuccashift/dispatch/prefix_servers.hpp"

#include <gtest/gtest.h>
#include <set>

namespace yuccashift {
namespace {

    struct APrefixOfARegion : testing::Test {
        APrefixOfARegion()
        {
            for (std::uint64_t i = 0; i < 46; ++i) {
                ServerCandidate it;
                it.key = 1000 + i;
                it.slots = 48;
                it.engine = true;
                servers.push_back(it);
            }
            work.parts = { { 1, 341 }, { 2, 227 }, { 3, 1800 } };
            work.promptTokens = 2368;
        }

        std::vector<ServerCandidate> servers;
        WorkSize work;
        static constexpr PrefixAffinity affinity { milliseconds(640), milliseconds(320), milliseconds(200) };

        std::uint64_t chosenServer()
        {
            auto candidates = servers;
            assumePrefixCached(candidates, work, false);
            return candidates[*chooseServer(candidates, work, affinity, 5).best].key;
        }
    };

    // 40 instances read each part on seven servers of a region, since none of them knew what the others had sent there.
    TEST_F(APrefixOfARegion, IsSentToTheSameServerByAllInstances)
    {
        const auto home = chosenServer();
        std::ranges::reverse(servers);
        EXPECT_EQ(chosenServer(), home);
    }

    TEST_F(APrefixOfARegion, GoesOnToTheNextServerWhileTheFirstIsBusy)
    {
        std::set<std::uint64_t> used { chosenServer() };
        for (int n = 0; n < 5; ++n) {
            for (auto& it : servers) {
                if (used.contains(it.key))
                    it.load.waitingPromptTokens[0] = 60000;
            }
            used.insert(chosenServer());
            EXPECT_EQ(used.size(), std::min<std::size_t>(n + 2, 7));
            if (n < 2)
                continue;
            // All three are busy now: the request is read anew, wherever it is soonest.
            break;
        }
    }

    TEST_F(APrefixOfARegion, SkipsServersThatTakeNothing)
    {
        const auto home = chosenServer();
        for (auto& it : servers)
            it.suspect = it.key == home;
        EXPECT_NE(chosenServer(), home);
    }

    // Where the prefix's home is another region, a copy that is only assumed here must not keep requests from their home.
    TEST_F(APrefixOfARegion, IsOnlyAssumedOutsideItsHomeRegion)
    {
        for (const bool isHome : { false, true }) {
            auto candidates = servers;
            assumePrefixCached(candidates, work, isHome);
            const auto home = std::ranges::find(candidates, 1u, &ServerCandidate::prefixRank);
            ASSERT_NE(home, candidates.end());
            EXPECT_EQ(home->cachedTokens, 568u);
            EXPECT_EQ(home->surelyCachedTokens, isHome ? 568u : 0u);
        }
    }

} // namespace
} // namespace yuccashift
