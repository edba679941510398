#include "fuzzing/support/check.hpp"
#include "yuccashift/http/memory_account.hpp"

#include <algorithm>
#include <map>

namespace yuccashift::fuzzing {
namespace {

    constexpr std::size_t limit = 1 << 20;

    /** Connections that open, grow, shrink, are evicted and close in any order. */
    class MemorySimulation {
    public:
        explicit MemorySimulation(std::string_view mutant)
            : m_mutant(mutant)
        {
        }

        std::optional<std::string> apply(const Step& step)
        {
            m_clock.advance(milliseconds(pick(step.c, 50)));
            switch (pick(step.action, 5)) {
            case 0:
                m_owners.push_back(std::make_shared<Owner>(m_account, pick(step.b, 2) == 0 ? MemoryUse::Requests : MemoryUse::Answers));
                m_owners.back()->holder.setOwner(m_owners.back());
                break;
            case 1:
                close(step);
                break;
            default:
                if (auto violation = resize(step))
                    return violation;
            }
            return check();
        }

        std::optional<std::string> finish()
        {
            m_owners.clear();
            return m_account.held() == 0 ? std::nullopt : std::optional<std::string>("something is held when nobody is left");
        }

    private:
        struct Owner final : Evictable {
            Owner(MemoryAccount& account, MemoryUse use)
                : holder(account, use)
            {
            }
            void evict() override { evicted = true; }

            MemoryHolder holder;
            HeldMemory held;
            bool evicted = false;
        };

        void close(const Step& step)
        {
            if (m_owners.empty())
                return;
            const auto at = m_owners.begin() + pick(step.a, m_owners.size());
            if (m_mutant == "a closed connection is kept")
                m_kept.push_back(*at);
            m_owners.erase(at);
        }

        std::optional<std::string> resize(const Step& step)
        {
            if (m_owners.empty())
                return std::nullopt;
            auto& owner = *m_owners[pick(step.a, m_owners.size())];
            if (owner.evicted) {
                owner.holder.release();
                owner.held = {};
                owner.evicted = false;
                return std::nullopt;
            }
            const HeldMemory next { std::size_t { step.b } * 8, step.action % 2 == 0, m_clock.now() };
            const bool protects = std::ranges::any_of(m_owners, [](const auto& it) { return it->held.evictable; });
            if (owner.holder.resize(next))
                owner.held = next;
            else if (next.bytes <= owner.held.bytes)
                return "a holder that shrinks was refused";
            else if (!protects && expected() + next.bytes - owner.held.bytes <= limit / 8 * 7)
                return "a holder was refused though there was room";
            for (const auto& it : m_owners) {
                if (!it->evicted)
                    continue;
                if (it->held.bytes > 0 && !it->held.evictable)
                    return "a protected holder was evicted";
                if (m_mutant != "an eviction frees nothing")
                    it->held = {};
            }
            return std::nullopt;
        }

        std::size_t expected() const
        {
            std::size_t sum = 0;
            for (const auto& it : m_owners)
                sum += it->held.bytes;
            return sum;
        }

        std::optional<std::string> check() const
        {
            if (m_account.held() > (m_mutant == "the limit is lower" ? limit / 2 : limit))
                return "more is held than the limit";
            if (m_account.held() != expected())
                return "the account differs from what is held";
            return std::nullopt;
        }

        std::string m_mutant;
        VirtualClock m_clock;
        MemoryAccount m_account { limit, m_clock };
        std::vector<std::shared_ptr<Owner>> m_kept;
        std::vector<std::shared_ptr<Owner>> m_owners;
    };

    class MemoryCheck final : public Check {
    public:
        std::vector<std::string> mutants() const override { return { "a closed connection is kept", "an eviction frees nothing", "the limit is lower" }; }

        std::optional<std::string> run(std::span<const Step> steps, std::string_view mutant) override
        {
            MemorySimulation simulation(mutant);
            for (const auto& step : steps) {
                if (auto violation = simulation.apply(step))
                    return violation;
            }
            return simulation.finish();
        }
    };

    const Registrar<Check, MemoryCheck> registered { "memory" };

} // namespace
} // namespace yuccashift::fuzzing
