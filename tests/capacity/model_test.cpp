#include "benchmarks/capacity/page.hpp"

#include <fstream>
#include <gtest/gtest.h>
#include <sstream>

namespace yuccashift::capacity {
namespace {

    std::string readSource(const std::string& path)
    {
        std::ifstream file(path);
        std::ostringstream text;
        text << file.rdbuf();
        return text.str();
    }

    /** Fixture with a model of one row, whose cost can be computed by hand. */
    class CapacityModelTest : public testing::Test {
    protected:
        CapacityModelTest()
        {
            m_slopes.emplace("beat", fitLine("beat", "us", "member", { { 1, 7 }, { 2, 9 }, { 4, 13 }, { 8, 21 } }));
        }

        const Model m_model = parseModel(
            "fleet: {nodes: 48, regions: 24, largest_region_factor: 10, workers: 480}\n"
            "limits: {control_core_percent: 3, control_megabytes: 64, control_kilobytes_per_second: 16, config_reads_per_second: 2000}\n",
            "derived:\n"
            "  region_nodes: [nodes, /regions, region_factor]\n"
            "sections:\n"
            "  - title: Heartbeats\n"
            "    rows:\n"
            "      - mechanism: all peers\n"
            "        module: membership\n"
            "        us_per_second: [[beat.base], [beat, region_nodes]]\n"
            "        bytes_per_second: [100, region_nodes]\n");
        Slopes m_slopes;
    };

    TEST_F(CapacityModelTest, ARowIsTheSumOfItsProducts)
    {
        const Calculator mean(m_model, m_slopes, RegionSize::Mean);
        EXPECT_DOUBLE_EQ(mean.value("region_nodes"), 2);
        const auto cost = mean.cost(m_model.sections[0].rows[0]);
        EXPECT_NEAR(*cost.corePercent, 9.0 / 10000, 1e-9);
        EXPECT_NEAR(*cost.kilobytesPerSecond, 0.2, 1e-9);
        EXPECT_FALSE(cost.megabytes);
    }

    TEST_F(CapacityModelTest, ACostIsReadOffBetweenMeasuredPoints)
    {
        const Calculator largest(m_model, m_slopes, RegionSize::Largest);
        const Calculator mean(m_model, m_slopes, RegionSize::Mean);
        EXPECT_DOUBLE_EQ(mean.value("beat@region_nodes"), 9);
        EXPECT_DOUBLE_EQ(largest.value("beat@region_nodes"), 45);
    }

    TEST_F(CapacityModelTest, TheLargestRegionIsLargerByItsFactor)
    {
        const Calculator largest(m_model, m_slopes, RegionSize::Largest);
        EXPECT_DOUBLE_EQ(largest.value("region_nodes"), 20);
    }

    TEST_F(CapacityModelTest, GrowthIsSeenByDoublingAnInput)
    {
        const auto& formula = m_model.sections[0].rows[0].bytesPerSecond;
        EXPECT_NEAR(growthExponent(m_model, m_slopes, formula, "nodes"), 1, 1e-9);
        EXPECT_NEAR(growthExponent(m_model, m_slopes, formula, "workers"), 0, 1e-9);
    }

    TEST_F(CapacityModelTest, AnUnknownNameIsAFault)
    {
        const Calculator mean(m_model, m_slopes, RegionSize::Mean);
        EXPECT_THROW(mean.value("nobody"), std::runtime_error);
        EXPECT_THROW(parseModel("fleet: {a: b}", ""), std::runtime_error);
    }

    TEST_F(CapacityModelTest, WhatExceedsALimitIsMarkedWithByHowMuch)
    {
        auto model = m_model;
        model.inputs["control_kilobytes_per_second"] = 0.5;
        const auto page = renderPage(model, m_slopes);
        EXPECT_NE(page.find("within 0.5 / **over 0.5 by 1.5**"), std::string::npos) << page;
    }

    TEST(CapacityPage, IsWhatTheModelSaysOverTheCommittedSlopes)
    {
        const auto model = parseModel(readSource("benchmarks/capacity/size.yaml"), readSource("benchmarks/capacity/rows.yaml"));
        const auto slopes = slopesFromJson(readSource("benchmarks/capacity/slopes.json"));
        EXPECT_EQ(renderPage(model, slopes), readSource("docs/CAPACITY-MODEL.md")) << "run tools/capacity page";
    }

    TEST(CapacityPage, NoControlTrafficOfAnInstanceGrowsWithBothInstancesAndWorkers)
    {
        const auto model = parseModel(readSource("benchmarks/capacity/size.yaml"), readSource("benchmarks/capacity/rows.yaml"));
        const auto slopes = slopesFromJson(readSource("benchmarks/capacity/slopes.json"));
        constexpr double linear = 0.9;
        for (const auto& section : model.sections) {
            for (const auto& row : section.rows) {
                const double nodes = growthExponent(model, slopes, row.bytesPerSecond, "nodes");
                const double workers = growthExponent(model, slopes, row.bytesPerSecond, "workers");
                EXPECT_FALSE(nodes > linear && workers > linear) << row.mechanism;
            }
        }
    }

} // namespace
} // namespace yuccashift::capacity
