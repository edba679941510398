#pragma once

#include "tests/support/fakes/platform_model.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <boost/json.hpp>
#include <list>
#include <thread>

namespace yuccashift::fakes {

/** Serves a PlatformModel over HTTP as described in docs/PLATFORM.md, with one thread per connection. */
class PlatformServer {
public:
    explicit PlatformServer(PlatformModel& model)
        : m_model(model)
        , m_acceptor(m_io, { boost::asio::ip::address_v4::loopback(), 0 })
        , m_thread([this] { acceptAll(); })
    {
    }

    ~PlatformServer()
    {
        m_stopping = true;
        boost::system::error_code ec;
        Socket wake(m_io);
        wake.connect(m_acceptor.local_endpoint(), ec);
        m_thread.join();
        for (auto& connection : m_connections)
            connection.socket.shutdown(Socket::shutdown_both, ec);
        for (auto& connection : m_connections)
            connection.thread.join();
    }

    PlatformServer(const PlatformServer&) = delete;
    PlatformServer& operator=(const PlatformServer&) = delete;

    Endpoint endpoint() const { return { "127.0.0.1", m_acceptor.local_endpoint().port() }; }

    /** From now on every body is cut in half. */
    void damageBodies() { m_damaged = true; }

private:
    using Socket = boost::asio::ip::tcp::socket;
    using Request = boost::beast::http::request<boost::beast::http::string_body>;
    using Response = boost::beast::http::response<boost::beast::http::string_body>;
    using Status = boost::beast::http::status;

    struct Connection {
        Socket socket;
        std::thread thread;
    };

    void acceptAll()
    {
        while (true) {
            boost::system::error_code ec;
            auto socket = m_acceptor.accept(ec);
            if (m_stopping || ec)
                return;
            auto& connection = m_connections.emplace_back(Connection { std::move(socket), {} });
            connection.thread = std::thread([this, &connection] { serve(connection.socket); });
        }
    }

    void serve(Socket& socket)
    {
        boost::beast::flat_buffer buffer;
        boost::system::error_code ec;
        while (!ec) {
            Request request;
            boost::beast::http::read(socket, buffer, request, ec);
            if (ec || m_model.isDown())
                break;
            auto response = answer(request);
            response.prepare_payload();
            boost::beast::http::write(socket, response, ec);
        }
        socket.shutdown(Socket::shutdown_both, ec);
    }

    Response answer(const Request& request)
    {
        const std::string target = request.target();
        if (target == "/v1/documents")
            return json(format(m_model.list()));
        if (target.starts_with("/v1/documents/"))
            return document(target.substr(std::string_view("/v1/documents/").size()));
        if (target.starts_with("/v1/watch?"))
            return json(format(m_model.waitFor(number(target, "index="), milliseconds(number(target, "wait_ms=")))));
        if (target == "/v1/instances")
            return json(format(m_model.listing));
        if (target == "/v1/load")
            return json(format(m_model.report));
        if (target.starts_with("/v1/cache-events?"))
            return json(format(m_model.eventsAfter(number(target, "after="))));
        if (target == "/v1/orders")
            return m_model.take(parseOrder(request.body())) ? json(boost::json::object()) : Response(Status::conflict, 11);
        return Response(Status::not_found, 11);
    }

    Response json(const boost::json::value& value) const
    {
        Response response(Status::ok, 11);
        response.body() = boost::json::serialize(value);
        if (m_damaged)
            response.body().resize(response.body().size() / 2);
        return response;
    }

    Response document(const ServiceName& service) const
    {
        const auto text = m_model.text(service);
        Response response(text ? Status::ok : Status::not_found, 11);
        response.body() = text.value_or("");
        return response;
    }

    static std::uint64_t number(const std::string& target, const std::string& name)
    {
        return std::stoull(target.substr(target.find(name) + name.size()));
    }

    static boost::json::value format(const ConfigListing& listing)
    {
        boost::json::array documents;
        for (const auto& document : listing.documents)
            documents.push_back({ { "service", document.service }, { "revision", document.revision } });
        return { { "index", listing.index }, { "documents", documents } };
    }

    static boost::json::value format(const InstanceListing& listing)
    {
        const auto state = [](bool leaving) { return leaving ? "leaving" : "live"; };
        boost::json::array instances;
        for (const auto& it : listing.instances)
            instances.push_back({ { "instance", it.instance }, { "region", it.region }, { "datacentre", it.datacentre }, { "callers", toString(it.callerEndpoint) },
                { "peers", toString(it.peerEndpoint) }, { "operators", toString(it.callerEndpoint) }, { "state", state(it.leaving) } });
        boost::json::array backends;
        for (const auto& it : listing.backends)
            backends.push_back({ { "service", it.service }, { "name", it.backend }, { "state", state(it.leaving) } });
        return { { "instances", instances }, { "backends", backends } };
    }

    static boost::json::value format(const LoadReport& report)
    {
        boost::json::array models;
        for (const auto& model : report.models)
            models.push_back({ { "name", model.name }, { "version", model.version }, { "adapters", boost::json::value_from(model.adapters) } });
        return { { "sequence", report.sequence }, { "running", report.running }, { "waiting", report.waiting }, { "queued_tokens", report.queuedTokens },
            { "prefill_tokens_per_second", report.prefillTokensPerSecond }, { "decode_tokens_per_second", report.decodeTokensPerSecond },
            { "leaving", report.leaving }, { "role", std::string(toString(report.role)) }, { "fence", report.highestFencingToken }, { "models", models } };
    }

    static boost::json::value format(const std::vector<CacheEvent>& events)
    {
        constexpr std::size_t digits = 16;
        boost::json::array items;
        for (const auto& event : events) {
            std::array<char, digits + 1> hex {};
            std::snprintf(hex.data(), hex.size(), "%016llx", static_cast<unsigned long long>(event.blockHash));
            items.push_back({ { "sequence", event.sequence }, { "kind", event.stored ? "stored" : "evicted" }, { "block", hex.data() } });
        }
        return { { "events", items } };
    }

    static EngineOrder parseOrder(const std::string& body)
    {
        const auto value = boost::json::parse(body);
        const auto& object = value.as_object();
        const auto text = [&](const char* key) { return object.contains(key) ? std::string(object.at(key).as_string()) : std::string(); };
        EngineOrder order;
        for (const auto kind : { OrderKind::LoadModel, OrderKind::LoadAdapter, OrderKind::UnloadModel, OrderKind::SetRole }) {
            if (text("kind") == toString(kind))
                order.kind = kind;
        }
        for (const auto role : { BackendRole::Both, BackendRole::Prefill, BackendRole::Decode }) {
            if (text("role") == toString(role))
                order.role = role;
        }
        order.fencingToken = object.at("fence").to_number<std::uint64_t>();
        order.model = text("model");
        order.version = text("version");
        order.adapter = text("adapter");
        return order;
    }

    PlatformModel& m_model;
    boost::asio::io_context m_io;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::atomic<bool> m_stopping = false;
    std::atomic<bool> m_damaged = false;
    std::list<Connection> m_connections;
    std::thread m_thread;
};

} // namespace yuccashift::fakes
