#pragma once

#include "yuccashift/http/server.hpp"

#include <functional>

namespace yuccashift {

class Coordinator;
class Gateway;
struct GatewayComponents;

/** Serves health, readiness and metrics, which need no credential. */
class HealthApi {
public:
    HealthApi(GatewayComponents&, const Coordinator&);

    /** Answers the request if its target is /healthz, /readyz or /metrics; returns false for any other target. */
    boost::asio::awaitable<bool> tryHandle(const RequestMessage&, AnswerSink&);

private:
    GatewayComponents& m_components;
    const Coordinator& m_coordinator;
};

/** Handles requests on the operators' listener: status, explain, drain and traces, which need the operators' credential, and those of HealthApi. */
class OperatorApi final : public RequestHandler {
public:
    OperatorApi(GatewayComponents&, Coordinator&, Gateway&, std::function<void()> drain);

    boost::asio::awaitable<void> handle(RequestMessage, AnswerSink&) override;

private:
    Result<std::string> answer(const RequestMessage&);
    bool authorised(const RequestMessage&) const;

    GatewayComponents& m_components;
    Coordinator& m_coordinator;
    Gateway& m_gateway;
    std::function<void()> m_drain;
    HealthApi m_health;
};

/** Handles requests on the callers' listener: those of HealthApi here, all others in the gateway. */
class CallerApi final : public RequestHandler {
public:
    CallerApi(GatewayComponents&, const Coordinator&, Gateway&);

    boost::asio::awaitable<void> handle(RequestMessage, AnswerSink&) override;

private:
    HealthApi m_health;
    Gateway& m_gateway;
};

} // namespace yuccashift
