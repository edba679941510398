// Datagrams and snapshots that instances exchange. tools/generate regenerates the code.
namespace cpp yuccashift.fleetwire

// Load that one instance has in progress at one backend server.
struct ServerLoad {
    // Short hash of the server's identity.
    1: i32 server,
    2: i32 requests,
    // Prompt tokens of requests whose prefill has not begun, by priority level; trailing levels may be missing.
    3: list<i32> waitingPromptTokens,
    // Tokens of prompt and output that the requests occupy in the server's memory.
    4: i32 memoryTokens,
    // Tokens left in the prefill of the oldest prompt that is not finished.
    5: i32 readingTokens,
    // Priority level of that prompt.
    6: i32 readingRank,
    // Only from the server's owner: observed time to first byte in percent of the expected one, by priority level.
    7: list<i32> slownessPercent,
    // Only from the server's owner: whether connections to the server fail.
    8: bool suspect,
    // Only from the server's owner: share of recent requests that failed; 0 while it has seen too few.
    9: i32 failurePercent,
}

// Capacity of the sender's region for one service, as the sender sees it.
struct ServiceRoom {
    1: string serviceName,
    // Expected time to the first event of a small new request, in milliseconds, by priority level.
    2: list<i32> waitMs,
    // Requests that fit before the region's servers are full.
    3: i32 freeSlots,
    // Share of the offered requests that the region's engines take, by priority level; empty if they take all. Not sent by
    // earlier versions.
    4: list<i32> acceptPercent,
}

// What a backend server of the sender's region asked for in its answers to the sender.
struct ServerRequest {
    // Short hash of the server's identity.
    1: i32 server,
    // Limit for all instances together. Not set if the server names none or no longer names one.
    2: optional double requestsPerSecond,
    // Time since the answer that said so.
    3: i32 ageMs,
    // The server is about to leave.
    4: bool leaving,
    // Time for which the server wants no requests; 0 if it takes them.
    5: i32 restMs,
    // Requests that it can turn away in a second for want of room without falling over. Not set if it is not brittle; not
    // sent by earlier versions.
    6: optional double bearableRejections,
}

// What the sender observed of the requests that it sent to a backend server since its last heartbeat to its region.
struct ServerObservationReport {
    // Short hash of the server's identity.
    1: i32 server,
    // First bytes that arrived, and their time in percent of the expected one, by the mean of all servers.
    2: i32 firstBytes,
    3: i32 pacePercent,
    // Requests that ended, and those of them that failed or were lost.
    4: i32 outcomes,
    5: i32 failures,
}

// A backend server was lost while a request whose prompt has these parts was in progress there.
struct PromptLoss {
    // Assigned by the instance that sent the request.
    1: i32 id,
    // Short hash of the server's identity.
    2: i32 server,
    // Short hashes of the parts that may be the cause.
    3: list<i32> parts,
    4: i32 sentAgoMs,
    5: i32 lostAgoMs,
    // Short hash of the whole request. Not sent by earlier versions, which count crashes by request in `crashes`.
    6: i32 request,
}

// A request whose prompt has this part, or that is this request, was served.
struct PartSuccess {
    1: i32 part,
    2: i32 agoMs,
}

// Properties that do not change while an instance runs; only some heartbeats carry them.
struct Profile {
    1: string instance,
    2: string region,
    3: string datacentre,
    4: string ip,
    // Capacity for requests of other instances, in thousandths of a processor core.
    5: i32 capacity,
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
    // IPv4 addresses of some instances whose heartbeats the sender receives.
    11: list<i32> hears,
    // Not used any more: earlier versions send the fingerprints of requests that crashed servers, with the number of
    // crashes that the sender saw. A crash that several of them saw counts several times.
    12: map<i64, i32> crashes,
    // Revision up to which the sender knows all changes of the store, though it may lack values that follow. Not sent
    // by earlier versions; `storeRevision` is the one up to which it has the values too.
    13: i64 knownRevision,
    // Only to instances of the own region.
    14: list<ServerRequest> serverRequests,
    // Era of the store to which the revisions belong. Not sent by earlier versions.
    15: i64 storeEra,
    16: list<PromptLoss> promptLosses,
    // Of parts that the losses name.
    17: list<PartSuccess> partSuccesses,
    // The sender continues a stream only at the software that began it, if a hop names it. Not sent by earlier versions.
    18: bool keepsStreamSoftware,
    // The software versions that the published servers run, as one hash, and for how long each service has had only one
    // of them, as far as the sender followed; 0 while a service has several.
    19: i64 softwareDigest,
    20: i32 singleSoftwareMs,
    // Whether `rooms` holds all that the sender's region can take; a service that is missing there can take nothing. Earlier
    // versions do not send it, and leave `rooms` empty to their own region.
    21: bool reportsCapacity,
    // Connections of the sender to all servers of its region fail, so that it can own none of them.
    22: bool reachesNoServer,
    // What counts against the limits of organisations, since the report before: short hashes of their names, and for each
    // the tokens (or requests) per second that callers demanded and that were admitted. To the own region these are the
    // sender's, to other regions the sums of its region.
    24: list<i64> usageOrganisations,
    25: list<i32> usageDemanded,
    26: list<i32> usageAdmitted,
    // Instances that the sums cover; 0 if they are the sender's own. Earlier versions send none of the four.
    27: i32 usageSources,
    // The sender names the organisation of a hop's caller to backend servers. Not sent by earlier versions.
    23: bool namesOrganisations,
    // The sender marks the answers of backend servers to forwarded requests, and answers a forwarded request never itself
    // because of its path. Not sent by earlier versions.
    41: bool marksServerAnswers,
    // Time since the sender had all changes of the store. Not set if it does not know; not sent by earlier versions.
    42: optional i32 listAgeMs,
    // The longest age of streams that may be older than the present time limits of their routes allow, since they began
    // under an earlier configuration or their callers wait longer. Not sent by earlier versions.
    43: optional i32 formerStreamAgeMs,
    // The versions of earlier configurations from which streams may remain, the latest ones. Not sent by earlier versions.
    44: optional list<i64> formerConfigVersions,
    // The longest deadline that the sender's callers lately named beyond what the time limit of their route covers. Not sent
    // if there is none, and by earlier versions.
    45: optional i32 longestCallerDeadlineMs,
    // Only to instances of the own region, if it has many. Not sent by earlier versions.
    40: optional list<ServerObservationReport> observations,
    // Only to instances of the own region: prompts that callers lately asked the region's engines to read through the sender,
    // by service and level of acceptance, in thousandths of an engine's time. Not sent by earlier versions.
    30: map<string, list<i32>> promptDemand,
}

// One item of the platform's store, or its removal.
struct HeldItem {
    1: string key,
    2: optional binary value,
    3: i64 revision,
    // The item was written, but its value is large and has to be requested apart.
    4: bool valueFollows,
    // Removals only: how long the sender, or whoever told it, has known of the removal. Not sent by earlier versions.
    5: optional i32 knownForMs,
}

// All items of the store, or the changes after a revision.
struct Snapshot {
    // Every change up to this revision is in the items or, in a partial snapshot, at or before `after`.
    1: i64 revision,
    2: list<HeldItem> items,
    // Whether the items are all items of the store.
    3: bool whole,
    // Partial snapshots only: the items are the changes after this revision.
    4: i64 after,
    // Era of the store to which the revisions belong. Not sent by earlier versions.
    5: i64 era,
}

// The newest value of an item that the sender has.
struct ItemValue {
    1: string key,
    2: i64 revision,
    // Bytes of the value.
    3: i32 size,
    // The value, compressed with deflate.
    4: binary compressed,
    // Era of the store to which the revision belongs.
    5: i64 era,
}

// Streams that were begun by one software.
struct StreamOrigins {
    // Hash of service and software version.
    1: i64 software,
    // Short hashes of the ids of the callers' attempts that brought the first events.
    2: list<i32> attempts,
}

// Tells a holder of streams which software began them.
struct StreamOriginNews {
    1: list<StreamOrigins> origins,
    // Whether the receiver tells the holders of its region.
    2: bool passOn,
}

// Asks a holder for the software that began a stream. It answers the asker with news, or not at all.
struct StreamOriginQuestion {
    1: i32 attempt,
    // IPv4 address.
    2: i32 asker,
    // Whether the receiver asks the holders of its region if it does not know.
    3: bool passOn,
}

// Holds exactly one of the fields.
struct Datagram {
    1: optional Heartbeat heartbeat,
    // Changes that the receiver may lack.
    2: optional Snapshot news,
    // The same if values of items follow; earlier versions would take these items for removed and ignore the field.
    3: optional Snapshot newsWithoutValues,
    4: optional StreamOriginNews streamOriginNews,
    5: optional StreamOriginQuestion streamOriginQuestion,
}
