#pragma once

#include "yuccashift/fleet/fleet_state.hpp"

#include <sstream>

namespace yuccashift::test {

/**
 * Decodes items written as space-separated words, for tests without a platform: `server SERVICE ADDRESS DATACENTRE
 * ready|draining BORN COLD_MS SLOTS [SOFTWARE]`, `config VERSION`, `evacuate DATACENTRE`; anything else is unusable.
 */
class WordItems : public ItemDecoder {
public:
    DecodedItem decode(std::string_view key, std::string_view value) const override
    {
        std::istringstream in { std::string(value) };
        std::string kind;
        in >> kind;
        if (kind == "server")
            return server(std::string(key), in);
        if (kind == "config") {
            RouteConfig result = config;
            in >> result.version;
            return result;
        }
        if (kind == "evacuate") {
            EvacuatedDatacentre it;
            in >> it.datacentre;
            return it;
        }
        return InvalidItem { "unknown word" };
    }

    /** Content of every decoded configuration, apart from its version. */
    RouteConfig config;

private:
    static DecodedItem server(const std::string& key, std::istringstream& in)
    {
        ServerEntry entry;
        std::string address;
        std::string state;
        std::int64_t coldMs = 0;
        entry.server.identity.id = key;
        in >> entry.server.service >> address >> entry.server.datacentre >> state >> entry.server.identity.startedAtMs >> coldMs >> entry.server.slots;
        entry.server.draining = state == "draining";
        entry.coldFor = milliseconds(coldMs);
        const bool complete = !in.fail();
        in >> entry.server.softwareVersion;
        if (!complete || !parseEndpoint(address, entry.server.address))
            return InvalidItem { "a word is missing" };
        return entry;
    }
};

} // namespace yuccashift::test
