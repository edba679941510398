#include "tests/support/fakes/fake_platform.hpp"
#include "tests/support/fakes/platform_server.hpp"
#include "yuccashift/http/backend_client.hpp"
#include "yuccashift/ports/http_platform.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <gtest/gtest.h>

// Runs the same cases against the fake and the HTTP adapter of each port, so that
// results of tests with fakes also hold for the adapters that the daemon uses.

namespace yuccashift {
namespace {

    namespace asio = boost::asio;

    enum class Implementation {
        Fake,
        Http,
    };

    struct Platform : testing::TestWithParam<Implementation> {
        fakes::PlatformModel model;
        fakes::PlatformServer server { model };
        SystemClock clock;
        // Must outlive the client, whose pooled connections use it.
        asio::io_context io;
        std::unique_ptr<BackendClient> client = makeHttpBackendClient(clock);

        bool isFake() const { return GetParam() == Implementation::Fake; }

        /** Runs the event loop until the call has completed and returns its result. */
        template <typename Value>
        Value await(asio::awaitable<Value> call)
        {
            std::optional<Value> result;
            const auto keep = [&result](const std::exception_ptr& e, Value value) {
                EXPECT_FALSE(e);
                result = std::move(value);
            };
            asio::co_spawn(io, std::move(call), keep);
            io.restart();
            while (!result && io.run_one() > 0) { }
            return std::move(*result);
        }
    };

    struct AConfigSource : Platform {
        std::unique_ptr<ConfigSource> source = isFake() ? std::make_unique<fakes::FakeConfigSource>(model) : makeHttpConfigSource(*client, clock, server.endpoint());
    };

    TEST_P(AConfigSource, ListsPublishedDocumentsWithTheIndex)
    {
        EXPECT_TRUE(await(source->list())->documents.empty());
        model.publish("draft", 7, "text");
        const auto listing = await(source->list());
        ASSERT_TRUE(listing) << listing.error().detail;
        EXPECT_EQ(listing->index, 1U);
        ASSERT_EQ(listing->documents.size(), 1U);
        EXPECT_EQ(listing->documents[0].service, "draft");
        EXPECT_EQ(listing->documents[0].revision, 7U);
    }

    TEST_P(AConfigSource, ReadsATextByteForByte)
    {
        const auto text = "service: draft\r\n# \xc3\xa9\n" + std::string(1 << 20, 'x');
        model.publish("draft", 1, text);
        const auto read = await(source->read("draft"));
        ASSERT_TRUE(read) << read.error().detail;
        EXPECT_EQ(*read, text);
    }

    TEST_P(AConfigSource, FailsToReadAnUnknownDocument)
    {
        EXPECT_FALSE(await(source->read("other")));
    }

    TEST_P(AConfigSource, EndsAWatchAtOnceAfterAMissedChange)
    {
        model.publish("draft", 1, "text");
        const auto listing = await(source->watch(0, std::chrono::minutes(1)));
        ASSERT_TRUE(listing);
        EXPECT_EQ(listing->index, 1U);
    }

    TEST_P(AConfigSource, EndsAWatchWhenItsWaitExpires)
    {
        const auto listing = await(source->watch(0, milliseconds(5)));
        ASSERT_TRUE(listing) << listing.error().detail;
        EXPECT_EQ(listing->index, 0U);
    }

    TEST_P(AConfigSource, EndsAWatchWithTheChangeItWaitedFor)
    {
        asio::steady_timer later(io, milliseconds(20));
        later.async_wait([this](auto) { model.publish("draft", 3, "text"); });
        const auto listing = await(source->watch(0, std::chrono::minutes(1)));
        ASSERT_TRUE(listing);
        EXPECT_EQ(listing->documents.at(0).revision, 3U);
    }

    TEST_P(AConfigSource, FailsWhileTheServiceIsDownAndWorksAfterwards)
    {
        model.publish("draft", 1, "text");
        ASSERT_TRUE(await(source->list()));
        model.setDown(true);
        EXPECT_FALSE(await(source->list()));
        EXPECT_FALSE(await(source->read("draft")));
        EXPECT_FALSE(await(source->watch(0, milliseconds(5))));
        model.setDown(false);
        EXPECT_TRUE(await(source->list()));
        EXPECT_TRUE(await(source->read("draft")));
    }

    struct AnInstanceList : Platform {
        std::unique_ptr<InstanceList> list = isFake() ? std::make_unique<fakes::FakeInstanceList>(model) : makeHttpInstanceList(*client, clock, server.endpoint());
    };

    TEST_P(AnInstanceList, ListsDatacentresAddressesAndWhatIsLeaving)
    {
        model.listing.instances = { { "i1", "sofia", "sofia-hall", { "127.0.0.1", 1 }, { "127.0.0.1", 2 }, false },
            { "i2", "varna", "varna-hall", { "127.0.0.1", 3 }, { "127.0.0.1", 4 }, true } };
        model.listing.backends = { { "draft", "b1", true }, { "draft", "b2", false } };
        const auto listing = await(list->read());
        ASSERT_TRUE(listing) << listing.error().detail;
        ASSERT_EQ(listing->instances.size(), 2U);
        EXPECT_EQ(listing->instances[0].datacentre, "sofia-hall");
        EXPECT_EQ(listing->instances[0].peerEndpoint.port, 2);
        EXPECT_FALSE(listing->instances[0].leaving);
        EXPECT_EQ(listing->instances[1].callerEndpoint.port, 3);
        EXPECT_TRUE(listing->instances[1].leaving);
        ASSERT_EQ(listing->backends.size(), 2U);
        EXPECT_EQ(listing->backends[0].backend, "b1");
        EXPECT_TRUE(listing->backends[0].leaving);
        EXPECT_FALSE(listing->backends[1].leaving);
    }

    TEST_P(AnInstanceList, FailsWhileTheServiceIsDownAndWorksAfterwards)
    {
        model.setDown(true);
        EXPECT_FALSE(await(list->read()));
        model.setDown(false);
        EXPECT_TRUE(await(list->read()));
    }

    struct AnEngine : Platform {
        std::unique_ptr<EngineControl> engine = isFake() ? std::make_unique<fakes::FakeEngineControl>(model) : makeHttpEngineControl(*client, clock);
        Endpoint address = server.endpoint();

        static EngineOrder order(std::uint64_t fence) { return { OrderKind::LoadAdapter, fence, "m", "2", "tax", BackendRole::Both }; }
    };

    TEST_P(AnEngine, ReportsItsLoadAndModels)
    {
        model.report = { 9, 3, 4, 500, 8000, 60.5, true, BackendRole::Decode, { { "m", "2", { "tax", "pass" } } }, 12 };
        const auto report = await(engine->load(address));
        ASSERT_TRUE(report) << report.error().detail;
        EXPECT_EQ(report->sequence, 9U);
        EXPECT_EQ(report->running, 3U);
        EXPECT_EQ(report->waiting, 4U);
        EXPECT_EQ(report->queuedTokens, 500U);
        EXPECT_EQ(report->prefillTokensPerSecond, 8000);
        EXPECT_EQ(report->decodeTokensPerSecond, 60.5);
        EXPECT_TRUE(report->leaving);
        EXPECT_EQ(report->role, BackendRole::Decode);
        EXPECT_EQ(report->highestFencingToken, 12U);
        EXPECT_EQ(report->models, model.report.models);
    }

    TEST_P(AnEngine, ReturnsCacheEventsAfterASequenceNumberWithGaps)
    {
        model.events = { { 1, true, 0xff }, { 4, false, 0x8000000000000001 }, { 5, true, 3 } };
        const auto events = await(engine->cacheEvents(address, 1));
        ASSERT_TRUE(events) << events.error().detail;
        ASSERT_EQ(events->size(), 2U);
        EXPECT_EQ(events->at(0).sequence, 4U);
        EXPECT_FALSE(events->at(0).stored);
        EXPECT_EQ(events->at(0).blockHash, 0x8000000000000001);
        EXPECT_TRUE(events->at(1).stored);
    }

    TEST_P(AnEngine, AcceptsCompleteOrdersAndRefusesALowerFencingNumber)
    {
        ASSERT_TRUE(await(engine->order(address, order(5))));
        const auto old = await(engine->order(address, order(4)));
        ASSERT_FALSE(old);
        EXPECT_EQ(old.error().kind, ErrorKind::BackendRefused);
        ASSERT_TRUE(await(engine->order(address, { OrderKind::SetRole, 5, {}, {}, {}, BackendRole::Prefill })));
        ASSERT_EQ(model.orders.size(), 2U);
        EXPECT_EQ(model.orders[0], order(5));
        EXPECT_EQ(model.orders[1].kind, OrderKind::SetRole);
        EXPECT_EQ(model.orders[1].role, BackendRole::Prefill);
    }

    TEST_P(AnEngine, ThatIgnoresFencingNumbersAcceptsLowerOnes)
    {
        model.checksFences = false;
        EXPECT_TRUE(await(engine->order(address, order(5))));
        EXPECT_TRUE(await(engine->order(address, order(4))));
    }

    TEST_P(AnEngine, FailsWhileItIsDownAndWorksAfterwards)
    {
        model.setDown(true);
        EXPECT_FALSE(await(engine->load(address)));
        EXPECT_FALSE(await(engine->cacheEvents(address, 0)));
        EXPECT_FALSE(await(engine->order(address, order(1))));
        model.setDown(false);
        EXPECT_TRUE(await(engine->load(address)));
    }

    struct ADamagedAnswer : Platform {
    };

    TEST_P(ADamagedAnswer, IsAnErrorAndNeverAPartialResult)
    {
        model.publish("draft", 1, "text");
        server.damageBodies();
        EXPECT_EQ(await(makeHttpConfigSource(*client, clock, server.endpoint())->list()).error().kind, ErrorKind::MalformedRequest);
        EXPECT_EQ(await(makeHttpInstanceList(*client, clock, server.endpoint())->read()).error().kind, ErrorKind::MalformedRequest);
        EXPECT_EQ(await(makeHttpEngineControl(*client, clock)->load(server.endpoint())).error().kind, ErrorKind::MalformedRequest);
    }

    const auto implementationName = [](const testing::TestParamInfo<Implementation>& info) { return info.param == Implementation::Fake ? "Fake" : "Http"; };

    INSTANTIATE_TEST_SUITE_P(Ports, AConfigSource, testing::Values(Implementation::Fake, Implementation::Http), implementationName);
    INSTANTIATE_TEST_SUITE_P(Ports, AnInstanceList, testing::Values(Implementation::Fake, Implementation::Http), implementationName);
    INSTANTIATE_TEST_SUITE_P(Ports, AnEngine, testing::Values(Implementation::Fake, Implementation::Http), implementationName);
    INSTANTIATE_TEST_SUITE_P(Ports, ADamagedAnswer, testing::Values(Implementation::Http), implementationName);

} // namespace
} // namespace yuccashift
