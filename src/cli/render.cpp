#include "cli/render.hpp"

#include <algorithm>
#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>
#include <iomanip>
#include <set>
#include <sstream>

namespace yuccashift::cli {

namespace {

    using boost::json::object;

    /** The value of a field: a string without quotes, anything else as JSON. Empty if the field is absent or null. */
    std::string fieldText(const object& fields, std::string_view key)
    {
        const auto* value = fields.if_contains(key);
        if (value == nullptr || value->is_null())
            return "";
        return value->is_string() ? std::string(value->as_string()) : boost::json::serialize(*value);
    }

    /** Formats all fields as `key=value`, separated by spaces. */
    std::string formatFields(const object& fields)
    {
        std::string line;
        for (const auto& field : fields) {
            line += line.empty() ? "" : " ";
            line += std::string(field.key()) + "=" + fieldText(fields, field.key());
        }
        return line;
    }

    void renderList(std::ostream& out, const object& status, std::string_view key)
    {
        const auto* list = status.if_contains(key);
        if (list == nullptr || !list->is_array())
            return;
        out << "  " << key << ": " << list->as_array().size() << "\n";
        for (const auto& item : list->as_array())
            out << "    " << (item.is_object() ? formatFields(item.as_object()) : boost::json::serialize(item)) << "\n";
    }

    void renderCandidates(std::ostream& out, const object& explanation, std::string_view key, std::string_view chosen)
    {
        out << key << ":\n";
        const auto* list = explanation.if_contains(key);
        if (list == nullptr || !list->is_array())
            return;
        for (const auto& item : list->as_array()) {
            const auto& candidate = item.as_object();
            const auto name = fieldText(candidate, "name");
            const auto expected = fieldText(candidate, "expected_ms");
            out << (name == chosen ? "  * " : "    ") << name << ": " << (name == chosen ? "chosen" : fieldText(candidate, "reason"));
            out << (expected.empty() ? "" : ", expected " + expected + " ms") << "\n";
        }
    }

    double startMicroseconds(const object& span)
    {
        const auto* start = span.if_contains("startUs");
        return start != nullptr && start->is_number() ? start->to_number<double>() : 0;
    }

    /** Prints spans depth-first. A span whose parent is not among the spans is a root. */
    class SpanTreePrinter {
    public:
        explicit SpanTreePrinter(const std::vector<object>& spans)
            : m_spans(spans)
        {
            for (const auto& span : spans)
                m_spanIds.insert(fieldText(span, "spanId"));
        }

        std::string print()
        {
            for (const auto& span : m_spans) {
                if (!m_spanIds.contains(fieldText(span, "parentId")))
                    printSubtree(span, 0);
            }
            return m_out.str();
        }

    private:
        void printSubtree(const object& span, std::size_t depth)
        {
            // Malformed input may contain a cycle of parent ids.
            if (!m_printedIds.insert(fieldText(span, "spanId")).second)
                return;
            printLine(span, depth);
            for (const auto& child : m_spans) {
                if (fieldText(child, "parentId") == fieldText(span, "spanId"))
                    printSubtree(child, depth + 1);
            }
        }

        void printLine(const object& span, std::size_t depth)
        {
            constexpr double microsecondsPerMillisecond = 1000;
            const auto* duration = span.if_contains("durationUs");
            const double durationUs = duration != nullptr && duration->is_number() ? duration->to_number<double>() : 0;
            m_out << std::string(2 * depth, ' ') << fieldText(span, "name") << " @" << fieldText(span, "instance");
            m_out << " +" << std::fixed << std::setprecision(1) << (startMicroseconds(span) - startMicroseconds(m_spans.front())) / microsecondsPerMillisecond;
            m_out << "ms " << durationUs / microsecondsPerMillisecond << "ms";
            const auto* attributes = span.if_contains("attributes");
            if (attributes != nullptr && attributes->is_object() && !attributes->as_object().empty())
                m_out << " " << formatFields(attributes->as_object());
            m_out << "\n";
        }

        const std::vector<object>& m_spans;
        std::set<std::string> m_spanIds;
        std::set<std::string> m_printedIds;
        std::ostringstream m_out;
    };

} // namespace

std::string renderStatus(const object& status)
{
    std::ostringstream out;
    out << fieldText(status, "instance") << " (" << fieldText(status, "region") << "/" << fieldText(status, "datacentre") << "): ";
    out << fieldText(status, "state") << ", " << fieldText(status, "inProgress") << " in progress, incarnation " << fieldText(status, "incarnation") << "\n";
    for (const std::string_view key : { "members", "documents", "rejected", "load", "queues", "limits", "quarantine" })
        renderList(out, status, key);
    return out.str();
}

std::string renderExplanation(const object& explanation)
{
    std::ostringstream out;
    renderCandidates(out, explanation, "regions", fieldText(explanation, "chosenRegion"));
    renderCandidates(out, explanation, "backends", fieldText(explanation, "chosenBackend"));
    return out.str();
}

std::vector<object> mergeSpans(const std::vector<object>& responses)
{
    std::vector<object> spans;
    std::set<std::string> seen;
    for (const auto& response : responses) {
        const auto* list = response.if_contains("spans");
        if (list == nullptr || !list->is_array())
            continue;
        for (const auto& item : list->as_array()) {
            if (item.is_object() && seen.insert(fieldText(item.as_object(), "spanId")).second)
                spans.push_back(item.as_object());
        }
    }
    std::ranges::stable_sort(spans, {}, startMicroseconds);
    return spans;
}

std::string renderTrace(const std::vector<object>& spans)
{
    return spans.empty() ? std::string() : SpanTreePrinter(spans).print();
}

} // namespace yuccashift::cli
