// Datagrams and snapshots between instances. Regenerate with tools/generate.
namespace cpp yuccashift.fleetwire

// What one instance has in progress at one backend server.
struct ServerLoad {
    // First 64 bits of the hash of (id, born).
    1: i64 server,
    2: i32 requests,
    // Prompt tokens of requests that have not begun, by rank of urgency.
    3: list<i32> waitingPromptTokens,
    // Tokens of prompt and output that the requests occupy.
    4: i32 memoryTokens,
    // Tokens left of the oldest prompt that has not been read, and its rank.
    5: i32 readingTokens,
    6: i32 readingRank,
}

// How one region stands for one service, as the sender sees it.
struct ServiceRoom {
    1: string serviceName,
    // Expected time to the first event of a small new request, in milliseconds, by rank of urgency.
    2: list<i32> waitMs,
    // Requests that fit before servers are full.
    3: i32 freeSlots,
}

struct Heartbeat {
    1: string instance,
    2: i64 incarnation,
    3: i64 sequence,
    4: string region,
    5: string datacentre,
    6: string ip,
    7: bool takesCallers,
    8: bool draining,
    9: i64 configVersion,
    10: i64 storeRevision,
    11: list<ServerLoad> loads,
    12: list<ServiceRoom> rooms,
    // IPv4 addresses of instances that the sender hears.
    13: list<i32> hears,
    // Fingerprints of requests that crash servers, with the number of crashes seen.
    14: map<i64, i32> crashes,
}

// One item of the platform's store as an instance holds it.
struct HeldItem {
    1: string key,
    2: binary value,
    3: i64 revision,
}

struct Snapshot {
    // Everything up to this revision is in the items.
    1: i64 revision,
    2: list<HeldItem> items,
}
