#include "fuzzing/support/check.hpp"
#include "peer_types.h"
#include "yuccashift/config/document_store.hpp"
#include "yuccashift/kernel/random.hpp"
#include "yuccashift/membership/coordinator.hpp"
#include "yuccashift/peer/codec.hpp"
#include "yuccashift/resilience/quarantine.hpp"

#include <algorithm>
#include <array>
#include <limits>
#include <set>

namespace yuccashift::fuzzing {
namespace {

    constexpr auto self = "i0";

    /** Returns extreme or arbitrary numbers, as a faulty peer or one of another version might send them. */
    std::int64_t anyNumber(std::uint32_t choice)
    {
        constexpr std::array<std::int64_t, 6> extremes { 0, -1, 1, std::numeric_limits<std::int64_t>::max(), std::numeric_limits<std::int64_t>::min(), std::numeric_limits<std::int32_t>::min() };
        return pick(choice, 3) == 0 ? extremes[pick(choice / 3, extremes.size())] : static_cast<std::int64_t>(choice);
    }

    std::int32_t anyNumber32(std::uint32_t choice)
    {
        return static_cast<std::int32_t>(anyNumber(choice));
    }

    std::string anyName(std::uint32_t choice)
    {
        constexpr std::array<const char*, 6> names { "", self, "i1", "i2", "\xff\n", "a-name-of-no-instance" };
        return names[pick(choice, names.size())];
    }

    wire::Member anyMember(const Step& step)
    {
        wire::Member member;
        member.instance = anyName(step.a);
        member.incarnation = anyNumber(step.b);
        member.__set_region(pick(step.c, 3) == 0 ? "" : "sofia");
        member.__set_peerEndpoint(pick(step.c, 2) == 0 ? "127.0.0.1:99999" : "127.0.0.1:1");
        member.__set_draining(step.c % 5 == 0);
        return member;
    }

    wire::Frame anyHeartbeat(const Step& step, const Step& next)
    {
        wire::Heartbeat heartbeat;
        heartbeat.sender = anyMember(step);
        heartbeat.sequence = anyNumber(step.c);
        heartbeat.revisionDigest = anyNumber(step.a);
        wire::DocumentRevision revision;
        revision.serviceName = anyName(next.a);
        revision.revision = anyNumber(next.b);
        heartbeat.__set_revisions({ revision, revision });
        wire::RegionSummary summary;
        summary.region = anyName(next.b);
        summary.ageMs = anyNumber32(next.c);
        heartbeat.__set_summaries({ summary });
        wire::QuarantineEntry entry;
        entry.fingerprint = pick(next.a, 4);
        entry.backend = anyNumber(next.a);
        entry.remainingMs = anyNumber32(next.b);
        entry.death = anyNumber(next.c);
        heartbeat.__set_quarantine({ entry });
        heartbeat.__set_members({ anyMember(next) });
        wire::RegionDemand demand;
        demand.region = anyName(next.c);
        demand.ageMs = anyNumber32(next.a);
        heartbeat.__set_regionDemands({ demand });
        wire::Frame frame;
        frame.__set_heartbeat(heartbeat);
        return frame;
    }

    wire::Frame anyDocuments(const Step& step)
    {
        wire::DocumentText text;
        text.serviceName = anyName(step.a);
        text.revision = anyNumber(step.b);
        text.text = pick(step.c, 2) == 0 ? "service: s\nrevision: 2\n" : std::string(1, static_cast<char>(step.c));
        wire::DocumentPush push;
        push.documents = { text, text };
        push.answer = step.b % 2 == 0;
        wire::DocumentPull pull;
        pull.complete = step.c % 2 == 0;
        pull.held.resize(pick(step.a, 5));
        wire::Frame frame;
        frame.__set_documentPush(push);
        frame.__set_documentPull(pull);
        return frame;
    }

    /** Feeds a coordinator with well-formed frames of arbitrary content, each from an authenticated instance. */
    class FramesCheck final : public Check {
    public:
        std::vector<std::string> mutants() const override { return { "anyone may speak for another instance" }; }

        std::optional<std::string> run(std::span<const Step> steps, std::string_view mutant) override
        {
            DocumentStore store;
            Quarantine quarantine;
            CoordinatorHooks hooks;
            hooks.quarantine = &quarantine;
            MemberInfo info;
            info.instance = self;
            info.incarnation = 5;
            info.region = "sofia";
            Coordinator coordinator(info, store, hooks, std::make_unique<SeededRandom>(1));
            Instant now { seconds(1000) };
            std::set<InstanceId> announced;
            for (std::size_t n = 0; n + 1 < steps.size(); ++n) {
                const auto& step = steps[n];
                const auto frame = pick(step.action, 3) == 0 ? anyDocuments(step) : anyHeartbeat(step, steps[n + 1]);
                const auto& sender = frame.heartbeat.sender.instance;
                const InstanceId from = mutant.empty() ? "i" + std::to_string(1 + pick(step.action, 2)) : sender;
                const auto authenticated = "i" + std::to_string(1 + pick(step.action, 2));
                if (sender == authenticated) {
                    announced.insert(sender);
                    announced.insert(frame.heartbeat.members.at(0).instance);
                }
                now += milliseconds(pick(step.c, 400));
                for (const auto& out : coordinator.receive(from, frame, now)) {
                    if (encodeFrame(out.frame).size() > maxFrameBytes)
                        return "a frame over its bound was sent";
                }
                coordinator.tick(now);
                for (const auto& [instance, member] : coordinator.view()->members) {
                    if (!announced.contains(instance))
                        return "an instance was made known by another in its name";
                    if (instance == self)
                        return "an instance is a member of itself";
                }
                if (!store.activeDocuments().empty())
                    return "a document with faults is in force";
                quarantine.expire(now);
            }
            return std::nullopt;
        }
    };

    const Registrar<Check, FramesCheck> registered { "frames" };

} // namespace
} // namespace yuccashift::fuzzing
