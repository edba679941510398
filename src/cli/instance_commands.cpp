#include "cli/arguments.hpp"
#include "cli/render.hpp"
#include "yuccashift/kernel/registry.hpp"

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>
#include <ostream>

namespace yuccashift::cli {

namespace {

    using boost::json::object;

    /** Prints why an instance gave no answer, and returns what that means for the exit. */
    ExitCode report(const Endpoint& instance, const CallFailure& failure, Console console)
    {
        console.err << "yuccashift: " << toString(instance) << ": " << failure.detail << "\n";
        return failure.fault == CallFault::Refused ? ExitCode::Negative : ExitCode::Unreachable;
    }

    bool isReady(const object& status)
    {
        const auto* state = status.if_contains("state");
        return state != nullptr && state->is_string() && state->as_string() == "ready";
    }

    class StatusCommand final : public Command {
    public:
        std::string_view summary() const override { return "shows membership, revisions, load, limits, quarantine and drain"; }

        ExitCode run(std::span<const std::string> given, Console console) override
        {
            Arguments arguments("status", "Shows the state of instances. Exits 1 where one is not ready.");
            InstanceArguments instances(arguments.line());
            arguments.parse(given);
            const auto token = instances.token();
            auto result = ExitCode::Ok;
            boost::json::array all;
            for (const auto& instance : instances.instances()) {
                const auto status = ask({ instance, "GET", "/v1/status", "", token });
                if (!status) {
                    result = std::max(result, report(instance, status.error(), console));
                    continue;
                }
                if (!isReady(*status))
                    result = std::max(result, ExitCode::Negative);
                all.push_back(*status);
                if (!arguments.json())
                    console.out << renderStatus(*status);
            }
            if (arguments.json())
                console.out << boost::json::serialize(object { { "instances", all } }) << "\n";
            return result;
        }
    };

    class DrainCommand final : public Command {
    public:
        std::string_view summary() const override { return "stops instances gracefully"; }

        ExitCode run(std::span<const std::string> given, Console console) override
        {
            Arguments arguments("drain", "Asks instances to take no new work, finish what is in progress and stop.");
            InstanceArguments instances(arguments.line());
            arguments.parse(given);
            const auto token = instances.token();
            auto result = ExitCode::Ok;
            boost::json::array all;
            for (const auto& instance : instances.instances()) {
                const auto status = ask({ instance, "POST", "/v1/drain", "", token });
                if (!status) {
                    result = std::max(result, report(instance, status.error(), console));
                    continue;
                }
                all.push_back(*status);
                if (!arguments.json())
                    console.out << toString(instance) << ": draining\n";
            }
            if (arguments.json())
                console.out << boost::json::serialize(object { { "instances", all } }) << "\n";
            return result;
        }
    };

    class TraceCommand final : public Command {
    public:
        std::string_view summary() const override { return "shows the spans of one request, hop by hop"; }

        ExitCode run(std::span<const std::string> given, Console console) override
        {
            Arguments arguments("trace", "Shows the spans of one trace as the given instances remember them.");
            InstanceArguments instances(arguments.line());
            TCLAP::UnlabeledValueArg<std::string> id("trace", "trace identifier, 32 hex digits", true, "", "trace", arguments.line());
            arguments.parse(given);
            const auto token = instances.token();
            auto result = ExitCode::Ok;
            std::vector<object> answers;
            for (const auto& instance : instances.instances()) {
                const auto answer = ask({ instance, "GET", "/v1/trace/" + id.getValue(), "", token });
                if (answer)
                    answers.push_back(*answer);
                else
                    result = std::max(result, report(instance, answer.error(), console));
            }
            const auto spans = mergeSpans(answers);
            if (arguments.json())
                console.out << boost::json::serialize(object { { "spans", boost::json::array(spans.begin(), spans.end()) } }) << "\n";
            else
                console.out << renderTrace(spans);
            return spans.empty() ? std::max(result, ExitCode::Negative) : result;
        }
    };

    /** Flags that describe a request to `explain`. */
    class RequestArguments {
    public:
        explicit RequestArguments(TCLAP::CmdLine& line)
            : m_service("", "service", "service", false, "", "name", line)
            , m_organisation("", "organisation", "organisation of the caller", true, "", "name", line)
            , m_model("", "model", "model, or model:adapter", false, "", "name", line)
            , m_method("", "method", "HTTP method", false, "POST", "method", line)
            , m_path("", "path", "path of the request", false, "", "path", line)
            , m_prompt("", "prompt", "prompt of the request", false, "", "text", line)
        {
        }

        std::string body()
        {
            object fields;
            for (auto* it : { &m_service, &m_organisation, &m_model, &m_method, &m_path, &m_prompt }) {
                if (!it->getValue().empty())
                    fields[it->getName()] = it->getValue();
            }
            return boost::json::serialize(fields);
        }

    private:
        TCLAP::ValueArg<std::string> m_service;
        TCLAP::ValueArg<std::string> m_organisation;
        TCLAP::ValueArg<std::string> m_model;
        TCLAP::ValueArg<std::string> m_method;
        TCLAP::ValueArg<std::string> m_path;
        TCLAP::ValueArg<std::string> m_prompt;
    };

    bool choseBackend(const object& explanation)
    {
        const auto* chosen = explanation.if_contains("chosenBackend");
        return chosen != nullptr && chosen->is_string() && !chosen->as_string().empty();
    }

    class ExplainCommand final : public Command {
    public:
        std::string_view summary() const override { return "says which region and backend server a request would get, and why"; }

        ExitCode run(std::span<const std::string> given, Console console) override
        {
            Arguments arguments("explain", "Says which region and backend server a described request would get if it arrived at the instance, and why each other was not chosen.");
            InstanceArguments instances(arguments.line());
            RequestArguments request(arguments.line());
            arguments.parse(given);
            const auto token = instances.token();
            auto result = ExitCode::Ok;
            for (const auto& instance : instances.instances()) {
                const auto explanation = ask({ instance, "POST", "/v1/explain", request.body(), token });
                if (!explanation) {
                    result = std::max(result, report(instance, explanation.error(), console));
                    continue;
                }
                console.out << (arguments.json() ? boost::json::serialize(*explanation) + "\n" : renderExplanation(*explanation));
                if (!choseBackend(*explanation))
                    result = std::max(result, ExitCode::Negative);
            }
            return result;
        }
    };

    const Registrar<Command, StatusCommand> statusRegistrar("status");
    const Registrar<Command, DrainCommand> drainRegistrar("drain");
    const Registrar<Command, TraceCommand> traceRegistrar("trace");
    const Registrar<Command, ExplainCommand> explainRegistrar("explain");

} // namespace

} // namespace yuccashift::cli
