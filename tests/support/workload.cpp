#include "tests/support/workload.hpp"

#include "standins/common/answer_text.hpp"

#include <algorithm>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace yuccashift::test {

namespace json = boost::json;

namespace {

    constexpr std::string_view endMark = "data: [DONE]\n\n";

    HttpCall withCredential(const Endpoint& entry, const std::string& credential)
    {
        HttpCall call;
        call.to = entry;
        call.headers["Authorization"] = "Bearer " + credential;
        return call;
    }

    json::object parsedBody(const HttpReply& reply)
    {
        boost::system::error_code ec;
        const auto value = json::parse(reply.body, ec);
        return !ec && value.is_object() ? value.as_object() : json::object();
    }

    /** Token text of one stream event; an empty string for other events. */
    std::string tokenOf(std::string_view event)
    {
        boost::system::error_code ec;
        const auto value = json::parse(event, ec);
        if (ec || !value.is_object() || !value.as_object().contains("choices"))
            return "";
        return std::string(value.at("choices").at(0).at("delta").at("content").as_string());
    }

    Outcome judgeStream(const ChatCall& call, const HttpReply& reply)
    {
        if (reply.body.find("data: {\"error\"") != std::string::npos)
            return reply.body.ends_with(endMark) ? Outcome::Wrong : Outcome::Failed;
        const bool marked = reply.body.ends_with(endMark);
        if (!reply.complete && !marked)
            return Outcome::Failed;
        const auto expected = standins::answerText(call.model, call.prompt, call.tokens);
        return marked && streamedText(reply.body) == expected ? Outcome::Whole : Outcome::Wrong;
    }

    Outcome judgeWhole(const ChatCall& call, const HttpReply& reply)
    {
        const auto body = parsedBody(reply);
        if (!body.contains("choices"))
            return Outcome::Wrong;
        const auto text = body.at("choices").at(0).at("message").at("content").as_string();
        return text == standins::answerText(call.model, call.prompt, call.tokens) ? Outcome::Whole : Outcome::Wrong;
    }

} // namespace

HttpCall chatRequest(const Endpoint& entry, const std::string& credential, const ChatCall& chat)
{
    auto call = withCredential(entry, credential);
    call.method = "POST";
    call.target = "/v1/chat/completions";
    call.headers["Content-Type"] = "application/json";
    const json::object message { { "role", "user" }, { "content", chat.prompt } };
    call.body = json::serialize(json::object { { "model", chat.model }, { "messages", json::array { message } },
        { "max_tokens", chat.tokens }, { "stream", chat.stream } });
    return call;
}

Outcome judgeChat(const ChatCall& call, const HttpReply& reply)
{
    if (reply.status != 200)
        return Outcome::Failed;
    if (call.stream)
        return judgeStream(call, reply);
    return reply.complete ? judgeWhole(call, reply) : Outcome::Failed;
}

std::string streamedText(std::string_view body)
{
    constexpr std::string_view start = "data: ";
    constexpr std::string_view end = "\n\n";
    std::string text;
    for (auto at = body.find(end); at != std::string_view::npos; at = body.find(end)) {
        auto event = body.substr(0, at);
        if (event.starts_with(start))
            text += tokenOf(event.substr(start.size()));
        body.remove_prefix(at + end.size());
    }
    return text;
}

HttpCall plainRequest(const Endpoint& entry, const std::string& credential, const std::string& method, const std::string& target, const std::string& body)
{
    auto call = withCredential(entry, credential);
    call.method = method;
    call.target = target;
    call.body = body;
    return call;
}

Outcome judgePlain(const HttpCall& call, const HttpReply& reply)
{
    if (!reply.ok())
        return Outcome::Failed;
    const auto body = parsedBody(reply);
    const auto* proof = body.if_contains("proof");
    if (proof == nullptr)
        return Outcome::Wrong;
    const auto path = std::string(body.at("path").as_string());
    // The gateway may strip the route prefix from the path, so only the end of the path is compared.
    const bool ownPath = call.target.ends_with(path);
    return ownPath && proof->as_string() == standins::plainProof(call.method, path, call.body) ? Outcome::Whole : Outcome::Wrong;
}

std::string errorField(const HttpReply& reply, std::string_view field)
{
    const auto body = parsedBody(reply);
    const auto* error = body.if_contains("error");
    if (error == nullptr || !error->is_object() || !error->as_object().contains(field))
        return "";
    const auto& value = error->at(field);
    return value.is_string() ? std::string(value.as_string()) : json::serialize(value);
}

EntryOffer askEntries(const Endpoint& entry, const std::string& credential)
{
    auto call = withCredential(entry, credential);
    call.target = "/v1/entries";
    call.timeout = std::chrono::seconds(3);
    const auto body = parsedBody(send(call));
    EntryOffer offer;
    if (const auto* key = body.if_contains("idempotencyKey"))
        offer.key = std::string(key->as_string());
    if (const auto* entries = body.if_contains("entries")) {
        for (const auto& text : entries->as_array()) {
            Endpoint endpoint;
            if (parseEndpoint(std::string(text.as_string()), endpoint))
                offer.entries.push_back(endpoint);
        }
    }
    return offer;
}

bool KeyedCall::anyWhole() const
{
    return std::ranges::any_of(replies, &HttpReply::ok);
}

bool KeyedCall::allNotRun() const
{
    return std::ranges::all_of(replies, [](const auto& reply) { return reply.complete && errorField(reply, "runState") == "not run"; });
}

} // namespace yuccashift::test
