#include "review/stage/store.hpp"

#include <charconv>

namespace stage {

namespace {

    constexpr std::size_t pageItems = 500;

    std::string encodeBase64(std::string_view bytes)
    {
        constexpr std::string_view letters = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
        std::string out;
        for (std::size_t at = 0; at < bytes.size(); at += 3) {
            std::uint32_t bits = 0;
            const auto rest = std::min<std::size_t>(3, bytes.size() - at);
            for (std::size_t i = 0; i < 3; ++i)
                bits = bits << 8 | (i < rest ? static_cast<unsigned char>(bytes[at + i]) : 0U);
            for (std::size_t i = 0; i < 4; ++i)
                out += i <= rest ? letters[bits >> (18 - 6 * i) & 63U] : '=';
        }
        return out;
    }

    std::string query(std::string_view target, const std::string& name)
    {
        for (const char before : { '?', '&' }) {
            const auto field = before + name + "=";
            const auto at = target.find(field);
            if (at == std::string_view::npos)
                continue;
            const auto value = target.substr(at + field.size());
            return std::string(value.substr(0, value.find('&')));
        }
        return {};
    }

    std::int64_t numberOf(const std::string& text)
    {
        std::int64_t value = 0;
        std::from_chars(text.data(), text.data() + text.size(), value);
        return value;
    }

    std::string itemText(const std::string& key, const std::string& value, std::int64_t revision)
    {
        return R"({"key":")" + key + R"(","value":")" + encodeBase64(value) + R"(","revision":)" + std::to_string(revision) + R"(,"created":)" + std::to_string(revision) + R"(,"lease":0})";
    }

    std::string decodedKey(std::string text)
    {
        for (std::size_t at = 0; (at = text.find("%2F", at)) != std::string::npos;)
            text.replace(at, 3, "/");
        return text;
    }

} // namespace

Store::Store(const std::string& ip)
    : m_server(ip, 0, [this](Connection& connection) { serve(connection); })
{
}

Store::~Store()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stopping = true;
    }
    m_changed.notify_all();
    m_server.stop();
}

void Store::put(const std::string& key, const std::string& value)
{
    write(key, value);
}

void Store::remove(const std::string& key)
{
    write(key, std::nullopt);
}

void Store::setDown(bool down)
{
    const std::lock_guard lock(m_mutex);
    m_down = down;
    m_changed.notify_all();
}

bool Store::isDown()
{
    const std::lock_guard lock(m_mutex);
    return m_down;
}

void Store::write(const std::string& key, std::optional<std::string> value)
{
    const std::lock_guard lock(m_mutex);
    ++m_revision;
    if (value)
        m_items[key] = { *value, m_revision };
    else
        m_items.erase(key);
    m_history.push_back({ key, std::move(value), m_revision });
    m_changed.notify_all();
}

std::string Store::page(const std::string& after)
{
    const std::lock_guard lock(m_mutex);
    std::string items;
    std::size_t count = 0;
    bool more = false;
    for (auto it = m_items.upper_bound(after); it != m_items.end() && !more; ++it) {
        more = count == pageItems;
        if (more)
            break;
        items.append(count++ == 0 ? "" : ",").append(itemText(it->first, it->second.first, it->second.second));
    }
    return R"({"items":[)" + items + R"(],"hasMore":)" + (more ? "true" : "false") + R"(,"at":)" + std::to_string(m_revision) + "}";
}

std::string Store::eventsAfter(std::int64_t after, std::chrono::milliseconds wait)
{
    std::unique_lock lock(m_mutex);
    m_changed.wait_for(lock, wait, [&] { return m_stopping || m_down || m_revision > after; });
    std::string events;
    for (const auto& change : m_history) {
        if (change.revision <= after)
            continue;
        events.append(events.empty() ? "" : ",");
        if (change.value)
            events.append(itemText(change.key, *change.value, change.revision));
        else
            events.append(R"({"key":")" + change.key + R"(","revision":)" + std::to_string(change.revision) + R"(,"deleted":true})");
    }
    return R"({"events":[)" + events + R"(],"at":)" + std::to_string(m_revision) + "}";
}

void Store::serve(Connection& connection)
{
    while (const auto request = connection.readRequest()) {
        const Headers headers { { "Content-Type", "application/json" }, { "Store-Era", "1" } };
        const auto after = query(request->target, "after");
        std::string body;
        if (request->target.starts_with("/yuccashift/kv-range"))
            body = page(decodedKey(after));
        else if (request->target.starts_with("/yuccashift/kv-watch"))
            body = eventsAfter(numberOf(after), std::chrono::milliseconds(numberOf(query(request->target, "waitMs"))));
        const int status = isDown() ? 503 : body.empty() ? 404
                                                         : 200;
        if (!connection.send(answerText(status, headers, status == 200 ? body : "{}")))
            return;
    }
}

} // namespace stage
