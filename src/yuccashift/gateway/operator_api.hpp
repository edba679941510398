#pragma once

#include "yuccashift/http/server.hpp"

#include <functional>

namespace yuccashift {

class Coordinator;
class Gateway;
struct Parts;

/** Health, readiness and metrics, which need no credential. */
class HealthApi {
public:
    HealthApi(Parts&, const Coordinator&);

    /** Answers the request if its target is one of its own. */
    boost::asio::awaitable<bool> tryHandle(const RequestMessage&, AnswerSink&);

private:
    Parts& m_parts;
    const Coordinator& m_coordinator;
};

/** The operators' listener: status, explain, drain and traces, with the operators' credential. */
class OperatorApi final : public RequestHandler {
public:
    OperatorApi(Parts&, Coordinator&, Gateway&, std::function<void()> drain);

    boost::asio::awaitable<void> handle(RequestMessage, AnswerSink&) override;

private:
    Result<std::string> answer(const RequestMessage&);
    bool authorised(const RequestMessage&) const;

    Parts& m_parts;
    Coordinator& m_coordinator;
    Gateway& m_gateway;
    std::function<void()> m_drain;
    HealthApi m_health;
};

/** The callers' listener: health, and everything else to the gateway. */
class CallerApi final : public RequestHandler {
public:
    CallerApi(Parts&, const Coordinator&, Gateway&);

    boost::asio::awaitable<void> handle(RequestMessage, AnswerSink&) override;

private:
    HealthApi m_health;
    Gateway& m_gateway;
};

} // namespace yuccashift
