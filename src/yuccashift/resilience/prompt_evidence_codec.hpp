#pragma once

#include "yuccashift/resilience/prompt_quarantine.hpp"

namespace yuccashift {

/** Reads the evidence about parts of prompts from a heartbeat of either wire. */
template <typename Heartbeat>
PromptEvidence promptEvidenceOf(const Heartbeat& heartbeat)
{
    PromptEvidence evidence;
    for (const auto& it : heartbeat.promptLosses) {
        auto& loss = evidence.losses.emplace_back();
        loss.id = static_cast<std::uint32_t>(it.id);
        loss.server = static_cast<std::uint32_t>(it.server);
        for (const auto part : it.parts)
            loss.parts.push_back(static_cast<PartHash>(part));
        loss.sentAgo = milliseconds(it.sentAgoMs);
        loss.lostAgo = milliseconds(it.lostAgoMs);
        if constexpr (requires { it.request; })
            loss.request = static_cast<PartHash>(it.request);
    }
    for (const auto& it : heartbeat.partSuccesses)
        evidence.successes.push_back({ static_cast<PartHash>(it.part), milliseconds(it.agoMs) });
    return evidence;
}

/** Adds the evidence to a heartbeat of either wire. */
template <typename Heartbeat>
void addPromptEvidence(Heartbeat& heartbeat, const PromptEvidence& evidence)
{
    for (const auto& loss : evidence.losses) {
        auto& it = heartbeat.promptLosses.emplace_back();
        it.id = static_cast<std::int32_t>(loss.id);
        it.server = static_cast<std::int32_t>(loss.server);
        for (const auto part : loss.parts)
            it.parts.push_back(static_cast<std::int32_t>(part));
        it.sentAgoMs = static_cast<std::int32_t>(toMilliseconds(loss.sentAgo));
        it.lostAgoMs = static_cast<std::int32_t>(toMilliseconds(loss.lostAgo));
        if constexpr (requires { it.request; })
            it.request = static_cast<std::int32_t>(loss.request);
    }
    for (const auto& success : evidence.successes) {
        auto& it = heartbeat.partSuccesses.emplace_back();
        it.part = static_cast<std::int32_t>(success.part);
        it.agoMs = static_cast<std::int32_t>(toMilliseconds(success.ago));
    }
}

} // namespace yuccashift
