#include "yuccashift/keys/key_table.hpp"

#include <algorithm>

namespace yuccashift {

namespace {

    KeyDecision refuse(ErrorKind kind, std::string detail, RunState state)
    {
        return { KeyVerdict::Refuse, {}, {}, Error { kind, std::move(detail), state, {} } };
    }

} // namespace

std::size_t StoredAnswer::size() const
{
    auto bytes = sizeof(StoredAnswer) + body.size();
    for (const auto& [name, value] : headers)
        bytes += sizeof(headers.front()) + name.size() + value.size();
    return bytes;
}

KeyTable::KeyTable(KeyOwner owner, KeyTableLimits bounds)
    : m_owner(std::move(owner))
    , m_bounds(bounds)
{
}

KeyDecision KeyTable::begin(const MintedKey& key, std::uint64_t requestFingerprint, Instant now)
{
    if (key.instance != m_owner.instance || key.incarnation != m_owner.incarnation)
        return refuse(ErrorKind::KeyOwnerUnreachable, "another incarnation handed out the key", RunState::OutcomeUnknown);
    return m_entries.withShard(key.id(), [&](Table::Shard& shard) {
        // Another thread may already have removed the entry of this key with a later
        // time than `now`. Checking the age against `now` alone would then let the
        // key run a second time.
        const auto latest = std::max(now, m_expiredUntil.load());
        if (isExpired(key, m_owner, latest))
            return refuse(ErrorKind::KeyExpired, "the key is older than its lifetime", RunState::OutcomeUnknown);
        return beginLocked(shard, key, requestFingerprint);
    });
}

KeyDecision KeyTable::beginLocked(Table::Shard& shard, const MintedKey& key, std::uint64_t fingerprint)
{
    const auto it = shard.find(key.id());
    if (it != shard.end())
        return decideForEntry(it->second, fingerprint);
    if (!tryReserveEntry())
        return refuse(ErrorKind::KeyTableFull, "the instance remembers as many keys as it may", RunState::NotRun);
    const KeyTicket ticket { key.id(), m_nextAttempt.fetch_add(1) };
    shard.emplace(key.id(), Entry { fingerprint, ticket.attempt, key.mintedAt, {}, State::Running, {} });
    return { KeyVerdict::Run, ticket, {}, {} };
}

KeyDecision KeyTable::decideForEntry(const Entry& entry, std::uint64_t fingerprint) const
{
    if (entry.fingerprint != fingerprint)
        return refuse(ErrorKind::KeyConflict, "the key was used for another request", RunState::NotRun);
    switch (entry.state) {
    case State::Running:
        return refuse(ErrorKind::InProgress, "the first sending of this request is still running", RunState::OutcomeUnknown);
    case State::Answered:
        if (entry.answer)
            return { KeyVerdict::Replay, {}, entry.answer, {} };
        break;
    case State::Ran:
        break;
    case State::Unknown:
        return refuse(entry.kind, "the outcome of the first sending is not known", RunState::OutcomeUnknown);
    }
    return refuse(ErrorKind::KeyExpired, "the request ran, but its answer is no longer kept", RunState::Ran);
}

bool KeyTable::tryReserveEntry()
{
    if (m_size.fetch_add(1) < m_bounds.maxKeys)
        return true;
    m_size.fetch_sub(1);
    return false;
}

bool KeyTable::setOutcome(const KeyTicket& ticket, State state, StoredAnswerPtr answer, ErrorKind kind)
{
    return m_entries.withShard(ticket.id, [&](Table::Shard& shard) {
        const auto it = shard.find(ticket.id);
        // The entry is missing if the key has expired, and belongs to another attempt if this one was released.
        if (it == shard.end() || it->second.attempt != ticket.attempt || it->second.state != State::Running)
            return false;
        it->second.state = state;
        it->second.answer = std::move(answer);
        it->second.kind = kind;
        return true;
    });
}

void KeyTable::finish(const KeyTicket& ticket, StoredAnswer answer)
{
    const auto size = answer.size();
    if (size > m_bounds.maxAnswerBytes) {
        finishWithoutAnswer(ticket);
        return;
    }
    if (setOutcome(ticket, State::Answered, std::make_shared<const StoredAnswer>(std::move(answer)), {}))
        recordStoredAnswer(ticket.id, size);
}

void KeyTable::finishWithoutAnswer(const KeyTicket& ticket)
{
    setOutcome(ticket, State::Ran, {}, {});
}

void KeyTable::finishUnknown(const KeyTicket& ticket, ErrorKind kind)
{
    setOutcome(ticket, State::Unknown, {}, kind);
}

void KeyTable::releaseNotRun(const KeyTicket& ticket)
{
    m_entries.withShard(ticket.id, [&](Table::Shard& shard) {
        const auto it = shard.find(ticket.id);
        if (it == shard.end() || it->second.attempt != ticket.attempt || it->second.state != State::Running)
            return;
        shard.erase(it);
        m_size.fetch_sub(1);
    });
}

void KeyTable::expire(Instant now)
{
    // Set before any entry is removed, because begin() reads it while it holds the lock of the shard.
    auto until = m_expiredUntil.load();
    while (until < now && !m_expiredUntil.compare_exchange_weak(until, now)) { }
    until = std::max(until, now);
    m_entries.forEachShard([&](Table::Shard& shard) {
        const auto dropped = std::erase_if(shard, [&](const auto& item) {
            return until - m_owner.startedAt >= item.second.mintedAt + m_owner.lifetime;
        });
        m_size.fetch_sub(dropped);
    });
    trimAnswers();
}

void KeyTable::recordStoredAnswer(const KeyId& id, std::size_t size)
{
    {
        const std::lock_guard lock(m_answersMutex);
        m_answers.push_back({ id, size });
        m_answerBytes += size;
    }
    trimAnswers();
}

void KeyTable::trimAnswers()
{
    const std::lock_guard lock(m_answersMutex);
    while (!m_answers.empty() && (m_answerBytes > m_bounds.maxTotalAnswerBytes || !hasStoredAnswer(m_answers.front().id))) {
        const auto oldest = m_answers.front();
        m_answers.pop_front();
        m_answerBytes -= oldest.size;
        m_entries.withShard(oldest.id, [&](Table::Shard& shard) {
            const auto it = shard.find(oldest.id);
            if (it != shard.end())
                it->second.answer.reset();
        });
    }
}

bool KeyTable::hasStoredAnswer(const KeyId& id)
{
    return m_entries.withShard(id, [&](Table::Shard& shard) {
        const auto it = shard.find(id);
        return it != shard.end() && it->second.answer != nullptr;
    });
}

std::size_t KeyTable::size() const
{
    return m_size.load();
}

std::size_t KeyTable::answerBytes() const
{
    const std::lock_guard lock(m_answersMutex);
    return m_answerBytes;
}

} // namespace yuccashift
