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

    /** A field's value without the quotes of text; empty where it is absent. */
    std::string textOf(const object& fields, std::string_view key)
    {
        const auto* found = fields.if_contains(key);
        if (found == nullptr || found->is_null())
            return "";
        return found->is_string() ? std::string(found->as_string()) : boost::json::serialize(*found);
    }

    /** `key=value` for each field. */
    std::string pairs(const object& fields)
    {
        std::string line;
        for (const auto& field : fields) {
            line += line.empty() ? "" : " ";
            line += std::string(field.key()) + "=" + textOf(fields, field.key());
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
            out << "    " << (item.is_object() ? pairs(item.as_object()) : boost::json::serialize(item)) << "\n";
    }

    void renderCandidates(std::ostream& out, const object& explanation, std::string_view key, std::string_view chosen)
    {
        out << key << ":\n";
        const auto* list = explanation.if_contains(key);
        if (list == nullptr || !list->is_array())
            return;
        for (const auto& item : list->as_array()) {
            const auto& candidate = item.as_object();
            const auto name = textOf(candidate, "name");
            const auto expected = textOf(candidate, "expected_ms");
            out << (name == chosen ? "  * " : "    ") << name << ": " << (name == chosen ? "chosen" : textOf(candidate, "reason"));
            out << (expected.empty() ? "" : ", expected " + expected + " ms") << "\n";
        }
    }

    double startOf(const object& span)
    {
        const auto* start = span.if_contains("startUs");
        return start != nullptr && start->is_number() ? start->to_number<double>() : 0;
    }

    /** Prints spans depth first; a span whose parent is unknown is a root. */
    class TreePrinter {
    public:
        explicit TreePrinter(const std::vector<object>& spans)
            : m_spans(spans)
        {
            for (const auto& span : spans)
                m_known.insert(textOf(span, "spanId"));
        }

        std::string print()
        {
            for (const auto& span : m_spans) {
                if (!m_known.contains(textOf(span, "parentId")))
                    printBelow(span, 0);
            }
            return m_out.str();
        }

    private:
        void printBelow(const object& span, std::size_t depth)
        {
            // Damaged input may name a span as its own ancestor.
            if (!m_printed.insert(textOf(span, "spanId")).second)
                return;
            printLine(span, depth);
            for (const auto& child : m_spans) {
                if (textOf(child, "parentId") == textOf(span, "spanId"))
                    printBelow(child, depth + 1);
            }
        }

        void printLine(const object& span, std::size_t depth)
        {
            constexpr double microsecondsPerMillisecond = 1000;
            const auto* duration = span.if_contains("durationUs");
            const double length = duration != nullptr && duration->is_number() ? duration->to_number<double>() : 0;
            m_out << std::string(2 * depth, ' ') << textOf(span, "name") << " @" << textOf(span, "instance");
            m_out << " +" << std::fixed << std::setprecision(1) << (startOf(span) - startOf(m_spans.front())) / microsecondsPerMillisecond;
            m_out << "ms " << length / microsecondsPerMillisecond << "ms";
            const auto* attributes = span.if_contains("attributes");
            if (attributes != nullptr && attributes->is_object() && !attributes->as_object().empty())
                m_out << " " << pairs(attributes->as_object());
            m_out << "\n";
        }

        const std::vector<object>& m_spans;
        std::set<std::string> m_known;
        std::set<std::string> m_printed;
        std::ostringstream m_out;
    };

} // namespace

std::string renderStatus(const object& status)
{
    std::ostringstream out;
    out << textOf(status, "instance") << " (" << textOf(status, "region") << "/" << textOf(status, "datacentre") << "): ";
    out << textOf(status, "state") << ", " << textOf(status, "inProgress") << " in progress, incarnation " << textOf(status, "incarnation") << "\n";
    for (const std::string_view key : { "members", "documents", "rejected", "load", "queues", "limits", "quarantine" })
        renderList(out, status, key);
    return out.str();
}

std::string renderExplanation(const object& explanation)
{
    std::ostringstream out;
    renderCandidates(out, explanation, "regions", textOf(explanation, "chosenRegion"));
    renderCandidates(out, explanation, "backends", textOf(explanation, "chosenBackend"));
    return out.str();
}

std::vector<object> mergeSpans(const std::vector<object>& answers)
{
    std::vector<object> spans;
    std::set<std::string> seen;
    for (const auto& answer : answers) {
        const auto* list = answer.if_contains("spans");
        if (list == nullptr || !list->is_array())
            continue;
        for (const auto& item : list->as_array()) {
            if (item.is_object() && seen.insert(textOf(item.as_object(), "spanId")).second)
                spans.push_back(item.as_object());
        }
    }
    std::ranges::stable_sort(spans, {}, startOf);
    return spans;
}

std::string renderTrace(const std::vector<object>& spans)
{
    return spans.empty() ? std::string() : TreePrinter(spans).print();
}

} // namespace yuccashift::cli
