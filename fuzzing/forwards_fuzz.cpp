#include "fuzzing/support/check.hpp"
#include "fuzzing/support/fake_link.hpp"
#include "peer_types.h"
#include "yuccashift/config/document_store.hpp"
#include "yuccashift/config/route_table.hpp"
#include "yuccashift/gateway/request_context.hpp"
#include "yuccashift/kernel/hash.hpp"

#include <algorithm>
#include <array>
#include <map>
#include <set>

namespace yuccashift::fuzzing {
namespace {

    constexpr std::array<const char*, 3> regions { "sofia", "varna", "plovdiv" };
    /** Region of each instance. */
    constexpr std::array<std::size_t, 5> regionOf { 0, 0, 1, 1, 2 };
    constexpr std::size_t instanceCount = regionOf.size();
    constexpr auto credential = "a-credential";
    constexpr Revision newestRevision = 40;

    /** Regions that a revision of the document allows the organisation; at least one. */
    std::vector<RegionName> allowedBy(Revision revision)
    {
        std::vector<RegionName> allowed;
        for (std::size_t n = 0; n < regions.size(); ++n) {
            if (((mix64(revision) >> n) & 1U) != 0)
                allowed.emplace_back(regions[n]);
        }
        if (allowed.empty())
            allowed.emplace_back(regions[revision % regions.size()]);
        return allowed;
    }

    std::string textOf(Revision revision)
    {
        std::string residency;
        for (const auto& region : allowedBy(revision))
            residency += (residency.empty() ? "" : ", ") + region;
        return "service: ledger\nowner: o\nrevision: " + std::to_string(revision) + "\nkind: plain\npath_prefix: /ledger\nregions: [sofia, varna, plovdiv]\n"
            + "backends:\n  - {name: b, region: sofia, datacentre: d, address: \"127.0.0.1:9001\"}\n"
            + "routes:\n  - {name: read, path: /read}\n  - {name: redeem, path: /redeem, idempotent: false}\n"
            + "organisations:\n  - name: museum\n    credential_sha256: [\"" + sha256Hex(credential) + "\"]\n    residency: [" + residency + "]\n";
    }

    // Route tables are immutable and shared by all runs, since parsing them again would take most of the time.
    const RouteTable& tableOf(Revision revision)
    {
        static std::map<Revision, RouteTable> tables;
        const auto it = tables.find(revision);
        if (it != tables.end())
            return it->second;
        DocumentStore store;
        store.accept(textOf(revision));
        return tables.emplace(revision, RouteTable(store.snapshot())).first->second;
    }

    /** A forwarded request and the instances that it has passed, in order. */
    struct ForwardInTransit {
        wire::Forward forward;
        std::vector<std::size_t> path;
    };

    /** Instances that hold different document revisions and forward requests to each other within the hop limits. */
    class ForwardsSimulation {
    public:
        explicit ForwardsSimulation(std::string_view mutant)
            : m_mutant(mutant)
        {
            m_revisions.fill(1);
        }

        std::optional<std::string> apply(const Step& step)
        {
            auto& revision = m_revisions[pick(step.a, instanceCount)];
            constexpr std::uint32_t actions = 6;
            switch (pick(step.action, actions)) {
            case 0:
                revision = std::max<Revision>(revision, 1 + pick(step.b, newestRevision));
                break;
            case 1:
                m_now += milliseconds(pick(step.b, 2000));
                break;
            case 2:
                m_link.duplicate(step.b);
                break;
            case 3:
                arrive(pick(step.a, instanceCount), step);
                break;
            default:
                deliver(step);
            }
            return m_violation;
        }

    private:
        bool is(std::string_view mutant) const { return m_mutant == mutant; }

        void recordViolation(std::string violation)
        {
            if (!m_violation)
                m_violation = std::move(violation);
        }

        Arrival arrivalAt(std::size_t n) const
        {
            Arrival arrival;
            arrival.instance = "i" + std::to_string(n);
            arrival.region = regions[regionOf[n]];
            arrival.now = m_now;
            return arrival;
        }

        // Callers may send any values in their headers.
        void arrive(std::size_t entry, const Step& step)
        {
            const bool keyed = pick(step.b, 2) == 0;
            RequestMessage message { "POST", keyed ? "/ledger/redeem" : "/ledger/read", {}, "body" };
            message.headers = { { "Authorization", std::string("Bearer ") + credential }, { "X-Priority", "0" }, { "Idempotency-Key", "key" } };
            const auto context = admitRequest(tableOf(m_revisions[entry]), std::move(message), arrivalAt(entry));
            if (!context)
                return recordViolation("a caller's request was not understood: " + context.error().detail);
            const auto minter = pick(step.c, instanceCount);
            if (keyed && minter != entry)
                return sendToMinter(entry, minter, *context);
            place(entry, *context, { entry }, step);
        }

        void sendToMinter(std::size_t from, std::size_t minter, const RequestContext& context)
        {
            const bool crosses = regionOf[from] != regionOf[minter];
            // routeKey() forwards no request to a region outside the allowed ones.
            const auto& allowed = context.traits.allowedRegions;
            if (std::ranges::find(allowed, regions[regionOf[minter]]) != allowed.end())
                m_link.send(from, minter, { makeForward(context, ForwardPurpose::CheckKey, m_now, crosses), { from } });
        }

        void deliver(const Step& step)
        {
            auto item = m_link.take(step.b);
            if (!item)
                return;
            auto& [forward, path] = item->message;
            path.push_back(item->to);
            if (is("hops are not counted"))
                forward.regionHops = forward.localHops = 0;
            const auto context = admitForward(tableOf(m_revisions[item->to]), forward, arrivalAt(item->to));
            if (!context) {
                if (is("the executing instance does not look again") && context.error().kind == ErrorKind::ResidencyViolation)
                    execute(item->to, path);
                return;
            }
            if (context->key.empty())
                execute(item->to, path);
            else
                place(item->to, *context, path, step);
        }

        // The policy may choose any allowed region.
        void place(std::size_t here, const RequestContext& context, const std::vector<std::size_t>& path, const Step& step)
        {
            const auto& allowed = context.traits.allowedRegions;
            const RegionName region = regions[regionOf[here]];
            const bool allowedHere = std::ranges::find(allowed, region) != allowed.end();
            if (context.origin.regionHops > 0) {
                if (allowedHere)
                    execute(here, path);
                return;
            }
            const auto& chosen = allowed[pick(step.c, allowed.size())];
            if (chosen == region)
                return execute(here, path);
            for (std::size_t n = 0; n < instanceCount; ++n) {
                if (regions[regionOf[n]] == chosen)
                    return m_link.send(here, n, { makeForward(context, ForwardPurpose::Execute, m_now, true), path });
            }
        }

        void execute(std::size_t here, const std::vector<std::size_t>& path)
        {
            const auto allowed = allowedBy(m_revisions[here]);
            if (std::ranges::find(allowed, regions[regionOf[here]]) == allowed.end())
                recordViolation("a request ran where the executing instance's documents forbid it");
            int crossings = 0;
            for (std::size_t n = 1; n < path.size(); ++n)
                crossings += regionOf[path[n - 1]] != regionOf[path[n]] ? 1 : 0;
            const auto hops = static_cast<int>(path.size()) - 1;
            if (crossings > 1 || hops - crossings > 1)
                recordViolation("a request hopped too often");
            if (std::set(path.begin(), path.end()).size() != path.size())
                recordViolation("a request came back to an instance");
        }

        std::string m_mutant;
        Instant m_now { seconds(1000) };
        /** Document revision that each instance holds. */
        std::array<Revision, instanceCount> m_revisions {};
        FakeLink<ForwardInTransit> m_link;
        std::optional<std::string> m_violation;
    };

    class ForwardsCheck final : public Check {
    public:
        std::vector<std::string> mutants() const override { return { "the executing instance does not look again", "hops are not counted" }; }

        std::optional<std::string> run(std::span<const Step> steps, std::string_view mutant) override
        {
            ForwardsSimulation simulation(mutant);
            for (const auto& step : steps) {
                if (auto violation = simulation.apply(step))
                    return violation;
            }
            return std::nullopt;
        }
    };

    const Registrar<Check, ForwardsCheck> registered { "forwards" };

} // namespace
} // namespace yuccashift::fuzzing
