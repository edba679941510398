#include "cli/arguments.hpp"
#include "cli/render.hpp"
#include "yuccashift/kernel/registry.hpp"

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>
#include <ostream>

namespace yuccashift::cli {

namespace {

    using boost::json::object;

    /** Prints why the call to an instance failed, and returns the exit code for that failure. */
    ExitCode printFailure(const Endpoint& instance, const CallFailure& failure, Console console)
    {
        console.err << "yuccashift: " << toString(instance) << ": " << failure.detail << "\n";
        return failure.reason == CallFailureReason::ErrorStatus ? ExitCode::Negative : ExitCode::Unreachable;
    }

    bool isReady(const object& status)
    {
        const auto* state = status.if_contains("state");
        return state != nullptr && state->is_string() && state->as_string() == "ready";
    }

    class StatusCommand final : public Command {
    public:
        std::string_view summary() const override { return "shows membership, revisions, load, limits, quarantine and drain"; }

        ExitCode run(std::span<const std::string> args, Console console) override
        {
            Arguments arguments("status", "Shows the state of instances. Exits 1 where one is not ready.");
            InstanceArguments instances(arguments.line());
            arguments.parse(args);
            const auto token = instances.token();
            auto result = ExitCode::Ok;
            boost::json::array statuses;
            for (const auto& instance : instances.instances()) {
                const auto status = callOperatorApi({ instance, "GET", "/v1/status", "", token });
                if (!status) {
                    result = std::max(result, printFailure(instance, status.error(), console));
                    continue;
                }
                if (!isReady(*status))
                    result = std::max(result, ExitCode::Negative);
                statuses.push_back(*status);
                if (!arguments.json())
                    console.out << renderStatus(*status);
            }
            if (arguments.json())
                console.out << boost::json::serialize(object { { "instances", statuses } }) << "\n";
            return result;
        }
    };

    class DrainCommand final : public Command {
    public:
        std::string_view summary() const override { return "stops instances gracefully"; }

        ExitCode run(std::span<const std::string> args, Console console) override
        {
            Arguments arguments("drain", "Asks instances to take no new work, finish what is in progress and stop.");
            InstanceArguments instances(arguments.line());
            arguments.parse(args);
            const auto token = instances.token();
            auto result = ExitCode::Ok;
            boost::json::array statuses;
            for (const auto& instance : instances.instances()) {
                const auto status = callOperatorApi({ instance, "POST", "/v1/drain", "", token });
                if (!status) {
                    result = std::max(result, printFailure(instance, status.error(), console));
                    continue;
                }
                statuses.push_back(*status);
                if (!arguments.json())
                    console.out << toString(instance) << ": draining\n";
            }
            if (arguments.json())
                console.out << boost::json::serialize(object { { "instances", statuses } }) << "\n";
            return result;
        }
    };

    class TraceCommand final : public Command {
    public:
        std::string_view summary() const override { return "shows the spans of one request, hop by hop"; }

        ExitCode run(std::span<const std::string> args, Console console) override
        {
            Arguments arguments("trace", "Shows the spans of one trace as the given instances remember them.");
            InstanceArguments instances(arguments.line());
            TCLAP::UnlabeledValueArg<std::string> id("trace", "trace identifier, 32 hex digits", true, "", "trace", arguments.line());
            arguments.parse(args);
            const auto token = instances.token();
            auto result = ExitCode::Ok;
            std::vector<object> responses;
            for (const auto& instance : instances.instances()) {
                const auto response = callOperatorApi({ instance, "GET", "/v1/trace/" + id.getValue(), "", token });
                if (response)
                    responses.push_back(*response);
                else
                    result = std::max(result, printFailure(instance, response.error(), console));
            }
            const auto spans = mergeSpans(responses);
            if (arguments.json())
                console.out << boost::json::serialize(object { { "spans", boost::json::array(spans.begin(), spans.end()) } }) << "\n";
            else
                console.out << renderTrace(spans);
            return spans.empty() ? std::max(result, ExitCode::Negative) : result;
        }
    };

    /** Flags of the `explain` command, which describe the request to explain. */
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
            for (auto* argument : { &m_service, &m_organisation, &m_model, &m_method, &m_path, &m_prompt }) {
                if (!argument->getValue().empty())
                    fields[argument->getName()] = argument->getValue();
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

    bool hasChosenBackend(const object& explanation)
    {
        const auto* chosen = explanation.if_contains("chosenBackend");
        return chosen != nullptr && chosen->is_string() && !chosen->as_string().empty();
    }

    class ExplainCommand final : public Command {
    public:
        std::string_view summary() const override { return "says which region and backend server a request would get, and why"; }

        ExitCode run(std::span<const std::string> args, Console console) override
        {
            Arguments arguments("explain", "Says which region and backend server a described request would get if it arrived at the instance, and why each other was not chosen.");
            InstanceArguments instances(arguments.line());
            RequestArguments request(arguments.line());
            arguments.parse(args);
            const auto token = instances.token();
            auto result = ExitCode::Ok;
            for (const auto& instance : instances.instances()) {
                const auto explanation = callOperatorApi({ instance, "POST", "/v1/explain", request.body(), token });
                if (!explanation) {
                    result = std::max(result, printFailure(instance, explanation.error(), console));
                    continue;
                }
                console.out << (arguments.json() ? boost::json::serialize(*explanation) + "\n" : renderExplanation(*explanation));
                if (!hasChosenBackend(*explanation))
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
