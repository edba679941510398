#include "demo/demo.hpp"

#include "tests/support/wait.hpp"

#include <atomic>
#include <boost/json/parse.hpp>
#include <fstream>
#include <iomanip>
#include <ostream>
#include <thread>

namespace yuccashift::demo {

using test::ChatCall;
using test::chatRequest;
using test::HttpReply;
using test::judgeChat;
using test::judgePlain;
using test::Outcome;
using test::plainRequest;
using test::send;

namespace {

    constexpr double maxRolloutSeconds = 3;
    constexpr std::size_t streamsUnderDrain = 6;
    constexpr std::uint64_t tokensUnderDrain = 300;
    constexpr std::uint64_t shortAnswer = 12;

    /** Returns the trace id from the `traceparent` header, or an empty string if the header is too short. */
    std::string traceIdOf(const HttpReply& reply)
    {
        constexpr std::size_t begin = 3;
        constexpr std::size_t length = 32;
        const auto text = reply.header("traceparent");
        return text.size() > begin + length ? text.substr(begin, length) : "";
    }

    std::string indented(const std::string& text, const std::string& margin)
    {
        std::string out;
        bool atStart = true;
        for (const char c : text) {
            if (atStart && c != '\n')
                out += margin;
            out += c;
            atStart = c == '\n';
        }
        return out;
    }

    std::string withoutNewline(std::string text)
    {
        while (text.ends_with('\n'))
            text.pop_back();
        return text;
    }

    /** Returns the document with revision 2 instead of 1 and the lines appended. */
    std::string changed(std::string yaml, const std::string& moreLines)
    {
        const std::string before = "revision: 1\n";
        yaml.replace(yaml.find(before), before.size(), "revision: 2\n");
        return yaml + moreLines;
    }

} // namespace

Demo::Demo(Deployment& deployment, std::ostream& out)
    : m_deployment(deployment)
    , m_plan(deployment.plan())
    , m_out(out)
    , m_steps(out)
{
}

bool Demo::run()
{
    describe();
    streamChat();
    callIdempotent();
    callNonIdempotent();
    callBoundFromElsewhere();
    callWithShortDeadline();
    changeDocument();
    drainUnderLoad();
    answerFromEveryRegion();
    return m_steps.allPassed();
}

std::vector<std::string> Demo::instanceFlags(const std::vector<InstanceId>& instances)
{
    std::vector<std::string> flags;
    for (const auto& id : instances)
        flags.insert(flags.end(), { "--instance", toString(m_deployment.fleet().instance(id).operators) });
    return flags;
}

std::pair<int, std::string> Demo::client(std::vector<std::string> arguments)
{
    auto& fleet = m_deployment.fleet();
    const auto tokenFile = fleet.folder() + "/operator-token";
    std::ofstream(tokenFile) << fleet.operatorToken();
    if (arguments.front() != "diff" && arguments.front() != "validate")
        arguments.insert(arguments.end(), { "--token-file", tokenFile });
    arguments.insert(arguments.begin(), test::ProcessFleet::program("src/cli/yuccashift"));
    test::ChildProcess process(arguments, "", fleet.folder(), "client-" + std::to_string(++m_clientRuns));
    const auto code = process.waitForExit();
    return { code.value_or(-1), process.output() + process.errors() };
}

std::string Demo::showTrace(const HttpReply& reply)
{
    const auto id = traceIdOf(reply);
    auto arguments = instanceFlags(m_deployment.fleet().instances());
    arguments.insert(arguments.begin(), { "trace", id });
    std::string text;
    // The entry instance ends its span after it has sent the answer, so wait for it to appear.
    test::waitUntil([&] {
        text = client(arguments).second;
        return text.find("entry @") != std::string::npos;
    });
    m_out << "  trace " << id << "\n"
          << indented(text, "    ");
    return text;
}

void Demo::describe()
{
    m_out << "\n== " << m_plan.name << "\n";
    for (const auto& region : m_plan.regions)
        m_out << "  " << region.region << "/" << region.datacentre << ": " << region.instances << " entry instances\n";
    auto arguments = instanceFlags(m_deployment.fleet().instances());
    arguments.insert(arguments.begin(), "status");
    m_steps.check(client(arguments).first == 0, "'yuccashift status' says that all " + std::to_string(m_deployment.fleet().instances().size()) + " are ready");
}

std::string Demo::sendChat(const InstanceId& entry, const OrganisationName& organisation, const std::string& prompt)
{
    const ChatCall chat { m_plan.model, prompt, shortAnswer, true };
    const auto reply = send(chatRequest(m_deployment.entry(entry), Deployment::credential(organisation), chat));
    m_out << "  answer: " << (reply.status == 200 ? test::streamedText(reply.body) : reply.body) << "\n";
    m_steps.check(judgeChat(chat, reply) == Outcome::Whole, "the answer is whole and the caller's own");
    return showTrace(reply);
}

void Demo::streamChat()
{
    const auto entry = m_deployment.instanceIn(0);
    m_out << "\n-- a streamed chat at " << entry << "\n";
    sendChat(entry, m_plan.organisation, m_plan.prompt);
}

void Demo::callIdempotent()
{
    const auto entry = m_deployment.instanceIn(1);
    m_out << "\n-- an idempotent call, GET " << m_plan.readPath << " at " << entry << "\n";
    const auto call = plainRequest(m_deployment.entry(entry), Deployment::credential(m_plan.organisation), "GET", m_plan.readPath, "");
    const auto reply = send(call);
    m_out << "  answer: " << reply.body << "\n";
    m_steps.check(judgePlain(call, reply) == Outcome::Whole, "the answer is whole and the caller's own");
    showTrace(reply);
}

void Demo::callNonIdempotent()
{
    const auto minter = m_deployment.instanceIn(0);
    const auto other = m_deployment.instanceIn(1);
    m_out << "\n-- a non-idempotent call, POST " << m_plan.writePath << ", sent at " << minter << " and again at " << other << "\n";
    const auto credential = Deployment::credential(m_plan.organisation);
    const auto offer = test::askEntries(m_deployment.entry(minter), credential);
    m_out << "  GET /v1/entries names " << offer.entries.size() << " entries and an idempotency key\n";
    for (const auto& entry : { minter, other }) {
        auto call = plainRequest(m_deployment.entry(entry), credential, "POST", m_plan.writePath, "{\"item\": 1}");
        call.headers["Idempotency-Key"] = offer.key;
        const auto reply = send(call);
        m_out << "  answer: " << reply.body << "\n";
        m_steps.check(judgePlain(call, reply) == Outcome::Whole, "the answer at " + entry + " is whole and the caller's own");
        showTrace(reply);
    }
    m_steps.check(m_deployment.runsOf(offer.key) == 1, "it ran once");
}

void Demo::callBoundFromElsewhere()
{
    const auto& home = m_plan.regions.back().region;
    const auto entry = m_deployment.instanceIn(0);
    m_out << "\n-- a request of " << m_plan.boundOrganisation << ", bound to " << home << ", that arrives at " << entry << "\n";
    const auto trace = sendChat(entry, m_plan.boundOrganisation, m_plan.prompt);
    m_steps.check(trace.find("@" + home) != std::string::npos, "it was served in " + home);
}

void Demo::callWithShortDeadline()
{
    const auto entry = m_deployment.instanceIn(0);
    m_out << "\n-- a chat of 400 tokens with a deadline of 20 ms\n";
    constexpr std::uint64_t tokens = 400;
    auto call = chatRequest(m_deployment.entry(entry), Deployment::credential(m_plan.organisation), { m_plan.model, m_plan.prompt, tokens, false });
    call.headers["X-Deadline-Ms"] = "20";
    const auto reply = send(call);
    m_out << "  answer: " << reply.status << " " << reply.body << "\n";
    m_steps.check(test::errorField(reply, "code") == "deadline_unreachable", "it was refused early");
    m_steps.check(test::errorField(reply, "runState") == "not run", "it did not run");
    showTrace(reply);
}

void Demo::changeDocument()
{
    const auto& service = m_plan.plainService;
    m_out << "\n-- a change of the document of " << service << "\n";
    const auto folder = m_deployment.fleet().folder();
    const auto before = m_deployment.document(service);
    const auto after = changed(before, "queue_limit: 300\n");
    std::ofstream(folder + "/before.yaml") << before;
    std::ofstream(folder + "/after.yaml") << after;
    const auto [code, differences] = client({ "diff", folder + "/before.yaml", folder + "/after.yaml" });
    m_out << indented(differences, "  ");
    m_steps.check(code == 1, "'yuccashift diff' shows what changes");
    const auto begin = std::chrono::steady_clock::now();
    m_deployment.publish(service, after);
    const bool everywhere = m_deployment.fleet().waitForRevision(service, 2);
    const std::chrono::duration<double> took = std::chrono::steady_clock::now() - begin;
    m_out << "  revision 2 in force at " << m_deployment.fleet().instances().size() << " instances after " << std::fixed << std::setprecision(2) << took.count() << " s\n";
    m_steps.check(everywhere && took.count() <= maxRolloutSeconds, "it is in force everywhere within 3 s");
}

void Demo::drainUnderLoad()
{
    const auto leaving = m_deployment.instanceIn(0, 2);
    m_out << "\n-- " << leaving << " is drained with " << streamsUnderDrain << " streams in progress\n";
    auto& fleet = m_deployment.fleet();
    std::vector<ChatCall> chats;
    std::vector<HttpReply> replies(streamsUnderDrain);
    std::atomic<std::size_t> startedStreams = 0;
    for (std::size_t n = 0; n < streamsUnderDrain; ++n)
        chats.push_back({ m_plan.model, m_plan.prompt + " Variant " + std::to_string(n), tokensUnderDrain, true });
    std::vector<std::thread> threads;
    const auto entry = m_deployment.entry(leaving);
    for (std::size_t n = 0; n < streamsUnderDrain; ++n) {
        threads.emplace_back([&, n] {
            bool counted = false;
            replies[n] = send(chatRequest(entry, Deployment::credential(m_plan.organisation), chats[n]), [&](std::string_view body) {
                startedStreams += !counted && !body.empty() ? 1 : 0;
                counted = counted || !body.empty();
                return true;
            });
        });
    }
    test::waitUntil([&] { return startedStreams == streamsUnderDrain; });
    auto arguments = instanceFlags({ leaving });
    arguments.insert(arguments.begin(), "drain");
    const auto drained = client(arguments);
    m_out << indented(drained.second, "  ");
    for (auto& thread : threads)
        thread.join();
    std::size_t wholeStreams = 0;
    for (std::size_t n = 0; n < streamsUnderDrain; ++n)
        wholeStreams += judgeChat(chats[n], replies[n]) == Outcome::Whole ? 1 : 0;
    m_steps.check(drained.first == 0 && wholeStreams == streamsUnderDrain, std::to_string(wholeStreams) + " of " + std::to_string(streamsUnderDrain) + " streams ended whole");
    auto& process = *fleet.instance(leaving).process;
    const auto exit = process.waitForExit();
    m_steps.check(exit == 0, leaving + " stopped with exit code " + (exit ? std::to_string(*exit) : "none"));
    if (exit != 0)
        m_out << indented(process.errors(), "    ");
    fleet.removeInstance(leaving);
}

void Demo::answerFromEveryRegion()
{
    m_out << "\n-- answers from every region\n";
    for (std::size_t n = 0; n < m_plan.regions.size(); ++n) {
        const auto entry = m_deployment.instanceIn(n);
        const auto call = plainRequest(m_deployment.entry(entry), Deployment::credential(m_plan.organisation), "GET", m_plan.readPath, "");
        const auto reply = send(call);
        m_out << "  " << entry << ": " << withoutNewline(reply.body) << "\n";
        m_steps.check(judgePlain(call, reply) == Outcome::Whole, m_plan.regions[n].region + " answers");
    }
}

} // namespace yuccashift::demo
