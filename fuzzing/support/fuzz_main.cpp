#include "fuzzing/support/check.hpp"
#include "yuccashift/kernel/random.hpp"

#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace yuccashift::fuzzing {

Check::~Check() = default;

std::ostream& operator<<(std::ostream& out, const Step& step)
{
    return out << '{' << step.action << ',' << step.a << ',' << step.b << ',' << step.c << '}';
}

namespace {

    using Checks = Registry<Check>;

    constexpr std::uint64_t mutantSeed = 20261203;
    constexpr int mutantHistories = 3000;
    constexpr std::size_t maxHistoryLength = 120;
    constexpr std::uint32_t numberLimit = 1 << 16;

    rc::Gen<Step> anyStep()
    {
        const auto number = rc::gen::inRange<std::uint32_t>(0, numberLimit);
        return rc::gen::apply([](auto action, auto a, auto b, auto c) { return Step { action, a, b, c }; }, number, number, number, number);
    }

    /** Runs a check without seeded faults on random histories; RC_PARAMS sets the seed and the number of histories. */
    class InvariantTest : public testing::Test {
    public:
        explicit InvariantTest(std::string check)
            : m_check(std::move(check))
        {
        }

        void TestBody() override
        {
            const bool passed = rc::check(m_check, [this] {
                const auto steps = *rc::gen::container<std::vector<Step>>(anyStep());
                const auto violation = Checks::instance().create(m_check)->run(steps, noMutant);
                if (violation)
                    RC_FAIL(*violation);
            });
            EXPECT_TRUE(passed) << m_check;
        }

    private:
        std::string m_check;
    };

    /** Requires that some history generated from a fixed seed detects one seeded fault. */
    class MutantTest : public testing::Test {
    public:
        MutantTest(std::string check, std::string mutant)
            : m_check(std::move(check))
            , m_mutant(std::move(mutant))
        {
        }

        void TestBody() override
        {
            SeededRandom random(mutantSeed);
            for (int n = 0; n < mutantHistories; ++n) {
                const auto steps = history(random);
                ASSERT_EQ(Checks::instance().create(m_check)->run(steps, noMutant), std::nullopt);
                if (Checks::instance().create(m_check)->run(steps, m_mutant))
                    return;
            }
            FAIL() << m_check << " does not notice " << m_mutant;
        }

    private:
        static std::vector<Step> history(RandomSource& random)
        {
            const auto number = [&] { return static_cast<std::uint32_t>(random.uniformBelow(numberLimit)); };
            std::vector<Step> steps(1 + random.uniformBelow(maxHistoryLength));
            for (auto& step : steps)
                step = { number(), number(), number(), number() };
            return steps;
        }

        std::string m_check;
        std::string m_mutant;
    };

    void registerCheck(const std::string& name)
    {
        testing::RegisterTest(name.c_str(), "Holds", nullptr, nullptr, __FILE__, __LINE__, [name]() -> testing::Test* { return new InvariantTest(name); });
        for (const auto& mutant : Checks::instance().create(name)->mutants()) {
            const auto title = "Catches/" + mutant;
            testing::RegisterTest(name.c_str(), title.c_str(), nullptr, nullptr, __FILE__, __LINE__, [name, mutant]() -> testing::Test* { return new MutantTest(name, mutant); });
        }
    }

} // namespace
} // namespace yuccashift::fuzzing

int main(int argc, char** argv)
{
    testing::InitGoogleTest(&argc, argv);
    for (const auto& name : yuccashift::fuzzing::Checks::instance().names())
        yuccashift::fuzzing::registerCheck(name);
    return RUN_ALL_TESTS();
}
