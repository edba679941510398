#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace yuccashift {

/**
 * Lets only whole server-sent events of a stream through, in the order of
 * their ids, so that the stream can go on at another server after the last one.
 */
class EventGate {
public:
    /** Appends the events that these bytes complete to `whole`; events that were let through before are dropped. */
    void feed(std::string_view bytes, std::string& whole);
    /** Bytes of an event that is not complete. */
    std::string_view rest() const { return m_pending; }
    /** Drops an incomplete event, since another server sends it again. */
    void restart() { m_pending.clear(); }
    /** The id of the last event that was let through. */
    const std::optional<std::string>& lastId() const { return m_lastId; }
    std::uint64_t events() const { return m_events; }

private:
    void accept(std::string_view event, std::string& whole);

    std::string m_pending;
    std::optional<std::string> m_lastId;
    std::optional<std::int64_t> m_lastNumber;
    std::uint64_t m_events = 0;
};

} // namespace yuccashift
