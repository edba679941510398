// Datagrams and snapshots between instances. Regenerate with tools/generate.
namespace cpp yuccashift.fleetwire

// What one instance has in progress at one backend server. Servers are named by a short hash.
struct ServerLoad {
    1: i32 server,
    2: i32 requests,
    // Prompt tokens of requests that have not begun, by rank of urgency; ranks at the end may be missing.
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

// What does not change while an instance runs; sent now and then.
struct Profile {
    1: string instance,
    2: string region,
    3: string datacentre,
    4: string ip,
}

struct Heartbeat {
    // Short hash of the sender's name.
    1: i32 sender,
    2: i64 incarnation,
    3: i64 sequence,
    4: optional Profile profile,
    5: bool takesCallers,
    6: bool draining,
    7: i64 configVersion,
    8: i64 storeRevision,
    9: list<ServerLoad> loads,
    10: list<ServiceRoom> rooms,
    // IPv4 addresses of some instances that the sender hears.
    11: list<i32> hears,
    // Fingerprints of requests that crash servers, with the number of crashes seen.
    12: map<i64, i32> crashes,
}

// One item of the platform's store as an instance holds it, or its removal.
struct HeldItem {
    1: string key,
    2: optional binary value,
    3: i64 revision,
}

// All items, or what changed after a revision.
struct Snapshot {
    // Everything up to this revision is in the items, or was known at the one before.
    1: i64 revision,
    2: list<HeldItem> items,
    3: bool whole,
    // Where not whole: what changed after this revision.
    4: i64 after,
}

// A datagram holds one of these.
struct Datagram {
    1: optional Heartbeat heartbeat,
    2: optional Snapshot news,
}
