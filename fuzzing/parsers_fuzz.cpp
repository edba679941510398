#include "fuzzing/support/check.hpp"
#include "peer_types.h"
#include "yuccashift/answers/sse_tracker.hpp"
#include "yuccashift/config/text_delta.hpp"
#include "yuccashift/document/parser.hpp"
#include "yuccashift/gateway/chat_request.hpp"
#include "yuccashift/kernel/random.hpp"
#include "yuccashift/kernel/settings.hpp"
#include "yuccashift/keys/minted_key.hpp"
#include "yuccashift/membership/packed_loads.hpp"
#include "yuccashift/peer/codec.hpp"
#include "yuccashift/ports/json_bodies.hpp"

#include <algorithm>
#include <array>
#include <cctype>

namespace yuccashift::fuzzing {
namespace {

    constexpr std::string_view documentText = R"(service: draft
owner: tax
revision: 3
kind: model
regions: [sofia, plovdiv]
models:
  - {name: m, version: "1", adapters: [tax]}
backends:
  - {name: b1, region: sofia, datacentre: sofia-hall, address: "127.0.0.1:9001", slots: 4, fence: ignored, models: [m]}
routes:
  - {name: redeem, path: /redeem, idempotent: false, priority: urgent, deadline_ms: 2000}
organisations:
  - name: museum
    credential_sha256: ["0000000000000000000000000000000000000000000000000000000000000001"]
    residency: [sofia]
    limits: {requests_per_second: 50}
retry: {attempts: 3, budget_percent: 10}
)";

    constexpr std::string_view settingsText = R"(instance: i1
region: sofia
datacentre: sofia-hall
listen: {callers: "127.0.0.1:1", peers: "127.0.0.1:2", operators: "127.0.0.1:3"}
platform: {config_service: "127.0.0.1:4", instance_list: "127.0.0.1:5"}
peer_key: 0123456789abcdef0123
operator_token: 0123456789abcdef0123
threads: 2
bounds: {connections: 10, keys: 100}
)";

    constexpr std::string_view eventsText = "data: {\"token_index\":0}\n\n: note\r\n\r\ndata: {\"token_index\":1}\n\ndata: [DONE]\n\n";

    constexpr std::string_view listingText = R"({"index":4,"documents":[{"service":"draft","revision":3}]})";
    constexpr std::string_view instancesText = R"({"instances":[{"instance":"i1","region":"sofia","datacentre":"d","callers":"127.0.0.1:1","peers":"127.0.0.1:2","state":"leaving"}],"backends":[{"service":"s","name":"b","state":"live"}]})";
    constexpr std::string_view loadText = R"({"sequence":1,"running":2,"waiting":3,"queued_tokens":4,"prefill_tokens_per_second":5.5,"leaving":false,"role":"both","fence":6,"models":[{"name":"m","version":"1","adapters":["a"]}]})";
    constexpr std::string_view cacheText = R"({"events":[{"sequence":1,"kind":"stored","block":"00ff00ff00ff00ff"}]})";

    constexpr std::string_view chatText = R"({"model":"m:tax","messages":[{"role":"user","content":"a car"},{"role":"user","content":"b"}],"max_tokens":20,"stream":true})";

    wire::Frame sampleFrame()
    {
        wire::Heartbeat heartbeat;
        heartbeat.sender.instance = "i1";
        heartbeat.sequence = 7;
        heartbeat.revisions.resize(3);
        heartbeat.__set_loads(std::string(4 * packedLoadBytes, 'l'));
        heartbeat.members.resize(2);
        wire::Forward forward;
        forward.serviceName = "draft";
        forward.body = std::string(40, 'x');
        forward.headers.resize(2);
        wire::Frame frame;
        frame.stream = 5;
        frame.__set_heartbeat(heartbeat);
        frame.__set_forward(forward);
        return frame;
    }

    void cut(std::string& text, const Step& step)
    {
        text.erase(pick(step.a, text.size() + 1), pick(step.b, 12));
    }

    void overwrite(std::string& text, const Step& step)
    {
        if (!text.empty())
            text[pick(step.a, text.size())] = static_cast<char>(step.b);
    }

    void insertWord(std::string& text, const Step& step)
    {
        constexpr std::array<std::string_view, 16> words { "\n", "  ", ":", "- ", "[", "{", "&a ", "*a ", "!!binary ", "\"", "-1", "1e99", "~", "\xff", "18446744073709551616", "data: " };
        text.insert(pick(step.a, text.size() + 1), words[pick(step.b, words.size())]);
    }

    void repeatSlice(std::string& text, const Step& step)
    {
        const auto from = pick(step.a, text.size() + 1);
        text.insert(pick(step.c, text.size() + 1), text.substr(from, pick(step.b, 60)));
    }

    void flipCase(std::string& text, const Step& step)
    {
        if (text.empty())
            return;
        auto& c = text[pick(step.a, text.size())];
        const auto byte = static_cast<unsigned char>(c);
        c = static_cast<char>(std::isupper(byte) != 0 ? std::tolower(byte) : std::toupper(byte));
    }

    std::string mutated(std::string text, std::span<const Step> steps)
    {
        constexpr std::array changes { &cut, &overwrite, &insertWord, &repeatSlice, &flipCase };
        for (const auto& step : steps)
            changes[pick(step.action, changes.size())](text, step);
        return text;
    }

    std::optional<std::string> checkDocument(const std::string& text, std::string_view mutant)
    {
        auto first = parseDocument(text);
        const auto second = parseDocument(text);
        if (mutant == "a document is read differently" && first)
            first->queueLimit += 1;
        if (first.has_value() != second.has_value())
            return "the same text was accepted once and refused once";
        if (!first)
            return first.error().empty() ? std::optional<std::string>("a refusal without a fault") : std::nullopt;
        if (!(*first == *second))
            return "the same text gave two documents";
        if (first->service.empty() || first->revision == 0)
            return "a document without its name or revision was accepted";
        return std::nullopt;
    }

    constexpr std::size_t minSecretLength = 16;

    std::optional<std::string> checkSettings(const std::string& text, std::string_view mutant)
    {
        auto settings = parseSettings(text);
        if (mutant == "short secrets are accepted" && settings)
            settings->peerKey.resize(minSecretLength / 2);
        if (!settings)
            return settings.error().empty() ? std::optional<std::string>("a refusal without a fault") : std::nullopt;
        if (settings->instance.empty() || settings->peerKey.size() < minSecretLength)
            return "settings without a name or with a short secret were accepted";
        return std::nullopt;
    }

    std::optional<std::string> checkFrame(const std::string& bytes, std::string_view mutant)
    {
        const auto* data = reinterpret_cast<const std::uint8_t*>(bytes.data());
        const auto frame = decodeFrame({ data, bytes.size() });
        if (!frame)
            return frame.error().kind == ErrorKind::MalformedRequest ? std::nullopt : std::optional<std::string>("damage has another kind");
        auto encoded = encodeFrame(*frame);
        if (mutant == "a frame is cut when it is written")
            encoded.pop_back();
        const auto* body = reinterpret_cast<const std::uint8_t*>(encoded.data()) + frameLengthBytes;
        const auto again = decodeFrame({ body, encoded.size() - frameLengthBytes });
        if (!again || !(*again == *frame))
            return "a frame changed when it was written and read";
        return std::nullopt;
    }

    std::optional<std::string> checkEvents(const std::string& text, std::span<const Step> steps, std::string_view mutant)
    {
        constexpr std::size_t maxEventBytes = 64;
        SseTracker whole(maxEventBytes);
        SseTracker cut(mutant == "an event's bound is not kept" ? text.size() : maxEventBytes);
        std::string expected;
        std::string got;
        const bool accepted = whole.feed(text, expected).has_value();
        bool cutAccepted = true;
        for (std::size_t n = 0; n < text.size();) {
            const auto size = 1 + pick(steps[n % steps.size()].c, 20);
            cutAccepted = cut.feed(std::string_view(text).substr(n, size), got).has_value() && cutAccepted;
            n += size;
            if (cut.pendingBytes() > maxEventBytes)
                return "more was held back than the bound";
        }
        // A stream fed as one piece may end before the parser sees an overlong remainder.
        if (accepted == cutAccepted && got != expected)
            return "the same bytes gave other events when cut";
        return std::nullopt;
    }

    template <typename Value>
    std::optional<std::string> checkErrorKind(const Result<Value>& result)
    {
        const bool expected = result.has_value() || result.error().kind == ErrorKind::MalformedRequest;
        return expected ? std::nullopt : std::optional<std::string>("damage has another kind");
    }

    std::optional<std::string> checkBody(std::uint32_t which, std::span<const Step> changes)
    {
        switch (pick(which, 5)) {
        case 4:
            return checkErrorKind(parseChatRequest(mutated(std::string(chatText), changes)));
        case 0:
            return checkErrorKind(detail::parseConfigListing(mutated(std::string(listingText), changes)));
        case 1:
            return checkErrorKind(detail::parseListing(mutated(std::string(instancesText), changes)));
        case 2:
            return checkErrorKind(detail::parseLoadReport(mutated(std::string(loadText), changes)));
        default:
            return checkErrorKind(detail::parseCacheEvents(mutated(std::string(cacheText), changes)));
        }
    }

    /** Checks that a key has exactly one accepted spelling and cannot be forged. */
    std::optional<std::string> checkKey(std::span<const Step> changes, std::string_view mutant)
    {
        SeededRandom random(3);
        const Instant startedAt { seconds(10) };
        const auto text = toString(KeyMinter("i.1", 77, startedAt, "secret").mint("o", startedAt + seconds(5), random));
        // The smallest change of spelling is one letter in the other case.
        auto damaged = mutated(text, changes);
        if (changes.size() == 1) {
            damaged = text;
            flipCase(damaged, changes[0]);
        }
        auto read = damaged;
        if (mutant == "another spelling of a key is taken")
            std::ranges::transform(read, read.begin(), [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
        const auto key = parseMintedKey(read, "o", "secret");
        if (key && damaged != text)
            return "a damaged key was taken";
        if (!parseMintedKey(text, "o", "secret"))
            return "a genuine key was refused";
        if (parseMintedKey(read, "other", "secret"))
            return "another organisation's key was taken";
        return std::nullopt;
    }

    // Any bytes unpack to a bounded number of non-negative loads that stay the same when packed again.
    std::optional<std::string> checkLoads(std::span<const Step> changes, std::string_view mutant)
    {
        const std::vector<wire::BackendLoad> loads(3);
        const auto first = unpackLoads(mutated(packLoads(loads), changes));
        auto again = packLoads(first);
        if (mutant == "a load is lost when it is packed")
            again.resize(again.size() - std::min(again.size(), packedLoadBytes));
        if (first.size() > maxPackedLoads || unpackLoads(again) != first)
            return "loads changed when they were packed again";
        const auto isNegative = [](const wire::BackendLoad& it) { return it.running < 0 || it.waiting < 0 || it.queuedTokens < 0 || it.ageMs < 0 || it.decodeTokensPerSecond < 0; };
        return std::ranges::any_of(first, isNegative) ? std::optional<std::string>("a negative load") : std::nullopt;
    }

    // Applying a delta yields its target; a damaged delta yields std::nullopt or a text within the size limit.
    std::optional<std::string> checkDelta(std::span<const Step> changes, std::string_view mutant)
    {
        const std::string base(documentText);
        const auto target = mutated(base, changes);
        auto parts = makeTextDelta(base, target);
        if (mutant == "a part of a delta is lost" && !parts.empty())
            parts.pop_back();
        if (applyTextDelta(base, parts) != target)
            return "a delta does not lead to its target";
        for (std::size_t n = 0; n < parts.size() && n < changes.size(); ++n) {
            parts[n].offset = static_cast<std::int32_t>(changes[n].a) - static_cast<std::int32_t>(changes[n].b);
            parts[n].length = static_cast<std::int32_t>(changes[n].c) - static_cast<std::int32_t>(changes[n].b);
        }
        const auto damaged = applyTextDelta(base, parts);
        return damaged && damaged->size() > maxDocumentBytes ? std::optional<std::string>("a text over its bound") : std::nullopt;
    }

    /** Feeds randomly damaged external input to the parsers. Sanitizer builds run this check as well. */
    class ParsersCheck final : public Check {
    public:
        std::vector<std::string> mutants() const override
        {
            return { "a document is read differently", "short secrets are accepted", "a frame is cut when it is written", "an event's bound is not kept",
                "another spelling of a key is taken", "a load is lost when it is packed", "a part of a delta is lost" };
        }

        std::optional<std::string> run(std::span<const Step> steps, std::string_view mutant) override
        {
            if (steps.empty())
                return std::nullopt;
            const auto changes = steps.first(steps.size() / 4);
            switch (pick(steps.back().a, 8)) {
            case 0:
                return checkDocument(mutated(std::string(documentText), changes), mutant);
            case 1:
                return checkSettings(mutated(std::string(settingsText), changes), mutant);
            case 2:
                return checkFrame(mutated(encodeFrame(sampleFrame()).substr(frameLengthBytes), changes), mutant);
            case 3:
                return checkBody(steps.back().b, changes);
            case 4:
                return checkKey(changes, mutant);
            case 5:
                return checkLoads(changes, mutant);
            case 6:
                return checkDelta(changes, mutant);
            default:
                return checkEvents(mutated(std::string(eventsText), changes), steps, mutant);
            }
        }
    };

    const Registrar<Check, ParsersCheck> registered { "parsers" };

} // namespace
} // namespace yuccashift::fuzzing
