#include "cli/render.hpp"

#include <boost/json/parse.hpp>
#include <gtest/gtest.h>

namespace yuccashift::cli {
namespace {

    boost::json::object parseObject(const char* text)
    {
        return boost::json::parse(text).as_object();
    }

    const char* const entrySpans = R"({"spans": [
        {"spanId": "b", "parentId": "a", "name": "forward", "instance": "sofia-1", "startUs": 1500, "durationUs": 2000, "attributes": {"region": "varna"}},
        {"spanId": "a", "parentId": "", "name": "request", "instance": "sofia-1", "startUs": 1000, "durationUs": 5000}]})";
    const char* const executorSpans = R"({"spans": [
        {"spanId": "c", "parentId": "b", "name": "execute", "instance": "varna-1", "startUs": 2000, "durationUs": 1000},
        {"spanId": "a", "parentId": "", "name": "request", "instance": "sofia-1", "startUs": 1000, "durationUs": 5000}]})";

    TEST(RenderTrace, JoinsInstancesAndIndentsEachHopOnce)
    {
        const auto spans = mergeSpans({ parseObject(entrySpans), parseObject(executorSpans) });
        EXPECT_EQ(renderTrace(spans),
            "request @sofia-1 +0.0ms 5.0ms\n"
            "  forward @sofia-1 +0.5ms 2.0ms region=varna\n"
            "    execute @varna-1 +1.0ms 1.0ms\n");
    }

    TEST(RenderTrace, ASpanWithAnUnknownParentIsARoot)
    {
        const auto spans = mergeSpans({ parseObject(R"({"spans": [{"spanId": "c", "parentId": "lost", "name": "execute", "instance": "varna-1", "startUs": 1, "durationUs": 1000}]})") });
        EXPECT_EQ(renderTrace(spans), "execute @varna-1 +0.0ms 1.0ms\n");
        EXPECT_EQ(renderTrace({}), "");
    }

    TEST(RenderExplanation, MarksTheChosenCandidateAndGivesReasonsForTheOthers)
    {
        const auto text = renderExplanation(parseObject(R"({"regions": [{"name": "sofia", "reason": "none", "expected_ms": 40}, {"name": "varna", "reason": "residency"}],
            "backends": [], "chosenRegion": "sofia", "chosenBackend": ""})"));
        EXPECT_EQ(text, "regions:\n  * sofia: chosen, expected 40 ms\n    varna: residency\nbackends:\n");
    }

    TEST(RenderStatus, ShowsStateAndEachListWithItsLength)
    {
        const auto text = renderStatus(parseObject(R"({"instance": "sofia-1", "region": "sofia", "datacentre": "sofia-hall", "state": "ready", "inProgress": 2,
            "incarnation": 7, "documents": [{"service": "pass-ledger", "revision": 3}]})"));
        EXPECT_EQ(text,
            "sofia-1 (sofia/sofia-hall): ready, 2 in progress, incarnation 7\n"
            "  documents: 1\n"
            "    service=pass-ledger revision=3\n");
    }

} // namespace
} // namespace yuccashift::cli
