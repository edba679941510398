#include "platform/json_item_decoder.hpp"

#include "yuccashift/kernel/hash.hpp"

#include <boost/json.hpp>
#include <gtest/gtest.h>

namespace yuccashift::platform {
namespace {

    constexpr const char* validServer = R"({"service":"draft","address":"10.0.0.9:8080","zone":"hall","version":"v1","slots":64,"state":"ready","coldRemainingMs":1500.5,"stage":"both","born":1790000000000,"sequence":4})";

    DecodedItem decode(std::string_view key, std::string_view value)
    {
        return JsonItemDecoder().decode(key, value);
    }

    TEST(AServersEntry, HoldsItsAddressAndState)
    {
        const auto item = decode("servers/i-1", validServer);
        const auto* entry = std::get_if<ServerEntry>(&item);
        ASSERT_TRUE(entry);
        EXPECT_EQ(entry->server.identity, (ServerIdentity { "i-1", 1790000000000 }));
        EXPECT_EQ(entry->server.address, (Endpoint { "10.0.0.9", 8080 }));
        EXPECT_EQ(entry->server.datacentre, "hall");
        EXPECT_EQ(entry->server.softwareVersion, "v1");
        EXPECT_EQ(entry->server.slots, 64u);
        EXPECT_TRUE(entry->server.engine);
        EXPECT_FALSE(entry->server.draining);
        EXPECT_EQ(entry->coldFor, microseconds(1500500));
    }

    /** The valid entry with one field replaced by a JSON text, or left out. */
    std::string withField(std::string_view name, std::string_view value)
    {
        auto entry = boost::json::parse(validServer).as_object();
        entry.erase(name);
        auto text = boost::json::serialize(entry);
        if (!value.empty())
            text.insert(1, "\"" + std::string(name) + "\":" + std::string(value) + ",");
        return text;
    }

    bool isInvalid(std::string_view key, std::string_view value)
    {
        return std::holds_alternative<InvalidItem>(decode(key, value));
    }

    TEST(AServersEntry, ThatIsMalformedIsInvalid)
    {
        for (const std::string_view value : { "", "not json", "[]", "{}", "\xff\xfe", R"({"service":"draft"})" })
            EXPECT_TRUE(isInvalid("servers/i-1", value)) << value;
    }

    // Another writer's entry was taken for a server if only fields without a use in this version were missing or of another type.
    TEST(AServersEntry, OfWhichAFieldIsMissingOrOfAnotherTypeIsInvalid)
    {
        EXPECT_FALSE(isInvalid("servers/i-1", withField("slots", "64")));
        for (const std::string_view name : { "service", "address", "zone", "version", "slots", "state", "coldRemainingMs", "sequence" }) {
            for (const std::string_view value : { "", "null", "true", "[1]", "{}" })
                EXPECT_TRUE(isInvalid("servers/i-1", withField(name, value))) << name << ": " << value;
        }
        const std::vector<std::pair<std::string_view, std::vector<std::string_view>>> badValues {
            { "service", { "7" } },
            { "address", { "7", R"("nowhere")", R"("host.example:80")", R"("10.0.0.9:0")", R"("0.0.0.0:80")", R"("10.0.0.9:65536")", R"("10.0.0.9:80\r\nX: y")" } },
            { "zone", { "7" } },
            { "slots", { R"("64")", "0", "-4", "1.5", "1e300" } },
            { "state", { "1", R"("resting")" } },
            { "coldRemainingMs", { R"("long")", "-1", "1e999" } },
            { "remainingMs", { "null", R"("long")", "-1" } },
            { "sequence", { R"("4")", "-1", "0.5" } },
            { "born", { "null", "1.5", "-1", R"("1790000000000")", "1e300" } },
            { "stage", { "null", "1" } },
        };
        for (const auto& [name, values] : badValues) {
            for (const auto value : values)
                EXPECT_TRUE(isInvalid("servers/i-1", withField(name, value))) << name << ": " << value;
        }
    }

    // The id is sent in a header of each request to the server.
    TEST(AServersEntry, WhoseKeyHoldsNoIdIsInvalid)
    {
        for (const std::string key : { "servers/", "servers/i-1\r\nX-Hold: 1", "servers/i 1", "servers/i-1\n" })
            EXPECT_TRUE(isInvalid(key, validServer)) << key;
    }

    // The sum of a longer time with the clock's overflowed.
    TEST(AServersEntry, HoldsTimesOfADayAtMost)
    {
        const auto item = decode("servers/i-1", withField("coldRemainingMs", "1e300"));
        EXPECT_EQ(std::get<ServerEntry>(item).coldFor, std::chrono::hours(24));
    }

    TEST(AServersEntry, MayLackTheTimeOfItsStart)
    {
        const auto item = decode("servers/i-1", withField("born", ""));
        EXPECT_EQ(std::get<ServerEntry>(item).server.identity.startedAtMs, 0);
    }

    TEST(AServersEntry, HoldsItsSoftwareVersionAsTextOrNumber)
    {
        for (const auto& [field, text] : std::vector<std::pair<std::string, std::string>> { { R"("2.0")", "2.0" }, { "2", "2" } }) {
            const auto item = decode("servers/i-1", withField("version", field));
            const auto* entry = std::get_if<ServerEntry>(&item);
            ASSERT_TRUE(entry) << field;
            EXPECT_EQ(entry->server.softwareVersion, text) << field;
        }
    }

    TEST(AServersEntry, HoldsTheTimeToItsDeparture)
    {
        const auto item = decode("servers/i-1", R"({"service":"draft","address":"10.0.0.9:8080","zone":"hall","version":"v1","slots":4,"state":"draining","coldRemainingMs":0,"remainingMs":2000,"sequence":4})");
        const auto* entry = std::get_if<ServerEntry>(&item);
        ASSERT_TRUE(entry);
        EXPECT_TRUE(entry->server.draining);
        EXPECT_EQ(entry->timeToDeparture, seconds(2));
    }

    constexpr const char* validConfig = R"({"version":7,"routes":[
        {"name":"r1","host":"a.example","pathPrefix":"/q/","kind":"streaming","timeoutMs":3000,"targetLatencyMs":600,"priority":0,"service":"draft","maxAttempts":2,"resumable":true,"homeRegions":["lagos"]},
        {"name":"r2","host":"a.example","pathPrefix":"/p/","kind":"non_idempotent","timeoutMs":4000,"targetLatencyMs":500,"priority":2,"trafficSplit":[{"service":"one","weight":90},{"service":"two","weight":10}],"maxAttempts":1,"homeRegions":[]}],
        "services":[{"name":"draft","healthPath":"/up","maxConnections":360,"coldS":3.0,"coldPerS":2.5,"engine":{"slots":64,"kvCapacityTokens":536377}}],
        "limits":{"headerBytes":1000,"bodyBytes":2000,"headerTimeoutMs":300,"idleTimeoutMs":4000}})";

    TEST(AConfiguration, HoldsRoutesServicesAndLimits)
    {
        const auto item = decode("op/config", validConfig);
        const auto* config = std::get_if<RouteConfig>(&item);
        ASSERT_TRUE(config);
        EXPECT_EQ(config->version, 7);
        ASSERT_EQ(config->routes.size(), 2u);
        const auto& first = config->routes[0];
        EXPECT_EQ(first.kind, RouteKind::Streaming);
        EXPECT_TRUE(first.retryable());
        EXPECT_EQ(first.latencyObjective, milliseconds(600));
        EXPECT_EQ(first.maxAttempts, 2u);
        EXPECT_EQ(first.homeRegions, std::vector<RegionName> { "lagos" });
        EXPECT_FALSE(first.requiresCredential);
        EXPECT_FALSE(config->identifiesCallers);
        EXPECT_EQ(config->routes[1].services.size(), 2u);
        const auto& serviceConfig = config->serviceConfig("draft");
        EXPECT_EQ(serviceConfig.healthPath, "/up");
        EXPECT_EQ(serviceConfig.coldTime, seconds(3));
        EXPECT_EQ(serviceConfig.memoryTokens, 536377u);
        EXPECT_TRUE(serviceConfig.engine);
        EXPECT_EQ(config->limits.maxHeaderBytes, 1000u);
        EXPECT_EQ(config->limits.idleTimeout, milliseconds(4000));
    }

    // Sums of the clock with such times overflowed, and a limit on headers that does not fit into 32 bits refused all requests.
    TEST(AConfiguration, HoldsTimesAndSizesThatAreTooLargeAsTheLargestUsable)
    {
        for (const std::string_view number : { "9223372036854775807", "4294967296000" }) {
            std::string text = R"({"version":7,"routes":[{"name":"r1","host":"h","pathPrefix":"/","kind":"idempotent","timeoutMs":N,"targetLatencyMs":N,"service":"s"}],
                "services":[{"name":"s","coldS":N}],"limits":{"headerBytes":N,"bodyBytes":N,"headerTimeoutMs":N,"idleTimeoutMs":N}})";
            for (auto at = text.find('N'); at != std::string::npos; at = text.find('N'))
                text.replace(at, 1, number);
            const auto item = decode("op/config", text);
            const auto* config = std::get_if<RouteConfig>(&item);
            ASSERT_TRUE(config) << number;
            constexpr auto day = std::chrono::hours(24);
            EXPECT_EQ(config->routes[0].timeLimit, day) << number;
            EXPECT_EQ(config->routes[0].latencyObjective, day) << number;
            EXPECT_EQ(config->serviceConfig("s").coldTime, day) << number;
            EXPECT_EQ(config->limits.headerTimeout, day) << number;
            EXPECT_EQ(config->limits.idleTimeout, day) << number;
            EXPECT_EQ(config->limits.maxHeaderBytes, std::size_t { 1 } << 30) << number;
            EXPECT_EQ(config->limits.maxBodyBytes, std::size_t { 1 } << 30) << number;
        }
    }

    // Another writer's entry among those of the servers ended the instances that read it.
    TEST(AnItem, ThatIsNestedVeryDeeplyIsInvalid)
    {
        for (const std::size_t depth : { 40, 1000, 200000 }) {
            const auto nested = std::string(depth, '[') + std::string(depth, ']');
            const auto unclosed = std::string(depth, '[');
            auto objects = std::string();
            for (std::size_t n = 0; n < depth; ++n)
                objects += R"({"a":)";
            for (const auto& it : { nested, unclosed, objects }) {
                EXPECT_TRUE(isInvalid("servers/i-1", it)) << depth;
                EXPECT_TRUE(isInvalid("servers/i-1", withField("slots", "64").insert(1, R"("more":)" + it + ","))) << depth;
                EXPECT_TRUE(isInvalid("op/config", it)) << depth;
            }
        }
    }

    TEST(AConfiguration, WithOneErrorIsInvalidAsAWhole)
    {
        const std::vector<std::string> values {
            R"({"routes":[],"services":[]})",
            R"({"version":"7","routes":[],"services":[]})",
            R"({"version":7,"routes":{},"services":[]})",
            R"({"version":7,"routes":[3],"services":[]})",
            R"({"version":7,"routes":[{"name":"r","host":"h","pathPrefix":"/","kind":"odd","service":"s"}],"services":[]})",
            R"({"version":7,"routes":[{"name":"r","host":"h","pathPrefix":"/","kind":"idempotent"}],"services":[]})",
        };
        for (const auto& value : values)
            EXPECT_TRUE(std::holds_alternative<InvalidItem>(decode("op/config", value))) << value;
    }

    std::string configWith(const std::string& organisations)
    {
        return R"({"version":7,"routes":[{"name":"r1","host":"h","pathPrefix":"/","kind":"idempotent","service":"s"},
            {"name":"r2","host":"h","pathPrefix":"/open/","kind":"idempotent","service":"s","public":true}],"services":[],"tenants":)"
            + organisations + "}";
    }

    TEST(Organisations, AreHeldWithoutTheirKeys)
    {
        const auto item = JsonItemDecoder({ "lagos" }).decode("op/config", configWith(R"([{"name":"clinic","apiKeys":["k1","k2"],"priority":1,"unit":"tokens","plainTokens":200,"perS":50.5,"burst":100,"homeRegions":["lagos"]},{"name":"idle"}])"));
        const auto* config = std::get_if<RouteConfig>(&item);
        ASSERT_TRUE(config);
        EXPECT_TRUE(config->identifiesCallers);
        EXPECT_TRUE(config->routes[0].requiresCredential);
        EXPECT_FALSE(config->routes[1].requiresCredential);
        const OrganisationSpec clinic { "clinic", { sha256Hex("k1"), sha256Hex("k2") }, { "lagos" }, 1, {}, 1, { true, 50.5, 100, 200 } };
        OrganisationSpec idle;
        idle.name = "idle";
        EXPECT_EQ(config->organisations, (std::vector { clinic, idle }));
        // A list without entries is not the same as none: nobody is left who may call.
        const auto emptied = decode("op/config", configWith("[]"));
        EXPECT_TRUE(std::get<RouteConfig>(emptied).routes[0].requiresCredential);
    }

    TEST(Organisations, WithOneErrorMakeTheConfigurationInvalidAndTheErrorNamesIt)
    {
        const std::vector<std::pair<std::string, std::string>> cases {
            { R"([{"name":"a","apiKeys":["secret"]},{"name":"b","apiKeys":["secret"]}])", "'b' has a key of 'a'" },
            { R"([{"name":"a"},{"name":"a"}])", "'a' occurs twice" },
            { R"([{"apiKeys":["secret"]}])", "name: missing" },
            { R"([{"name":"a\r\nX: 1"}])", "name: not the text of a header" },
            { R"([{"name":"a","unit":"bytes"}])", "unknown unit 'bytes'" },
            { R"([{"name":"a","perS":-1}])", "perS: not a number of at least 0" },
            { R"([{"name":"a","burst":"much"}])", "burst" },
            { R"([{"name":"a","priority":-1}])", "priority" },
            { R"([{"name":"a","apiKeys":[""]}])", "an empty key" },
            { R"([{"name":"a","apiKeys":[7]}])", "apiKeys" },
            { R"([{"name":"a","homeRegions":["atlantis"]}])", "'atlantis' is no region" },
        };
        for (const auto& [organisations, reason] : cases) {
            const auto item = JsonItemDecoder({ "lagos" }).decode("op/config", configWith(organisations));
            const auto* invalid = std::get_if<InvalidItem>(&item);
            ASSERT_TRUE(invalid) << organisations;
            EXPECT_NE(invalid->reason.find(reason), std::string::npos) << invalid->reason;
            EXPECT_EQ(invalid->reason.find("secret"), std::string::npos) << invalid->reason;
        }
    }

    TEST(AnEvacuation, NamesItsDataCentre)
    {
        const auto item = decode("op/evacuate/wuse-hall", "{}");
        EXPECT_EQ(std::get<EvacuatedDatacentre>(item).datacentre, "wuse-hall");
    }

    TEST(AnItem, WithAnUnknownKeyIsIgnored)
    {
        EXPECT_TRUE(std::holds_alternative<IgnoredItem>(decode("other/key", "{}")));
    }

} // namespace
} // namespace yuccashift::platform
