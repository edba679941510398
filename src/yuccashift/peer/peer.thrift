// Messages between instances. Each is sent as a length-prefixed Frame in the
// compact protocol of Thrift. Run tools/generate after a change.
namespace cpp yuccashift.wire

// First message in each direction. The proof authenticates the sender with the shared key.
struct Hello {
  1: string instance
  2: i64 incarnation
  3: binary nonce
  4: binary proof
}

// Location and endpoints of an instance. Most heartbeats carry only the first
// two fields.
struct Member {
  1: string instance
  2: i64 incarnation
  3: optional string region
  4: optional string datacentre
  5: optional string callerEndpoint
  6: optional string peerEndpoint
  7: optional bool draining
}

struct DocumentRevision {
  1: string serviceName
  2: i64 revision
  3: i64 textHash      // distinguishes two texts of the same revision
}

// A range of bytes to copy from the replaced text, or new bytes in text.
struct TextPart {
  1: i32 offset
  2: i32 length
  3: optional string text
}

// The text of an accepted document: whole, or as parts relative to the replaced
// text, whose hash is baseHash.
struct DocumentText {
  1: string serviceName
  2: i64 revision
  3: string text
  4: optional i64 textHash
  5: optional i64 baseHash
  6: optional list<TextPart> parts
}

// Load of a backend server as observed by the instance that watches it in its region.
struct BackendLoad {
  1: i64 backend       // hash of service and name
  2: i32 running
  3: i32 waiting
  4: i32 queuedTokens
  5: i32 ageMs
  6: i32 decodeTokensPerSecond
  7: bool leaving
}

// Load of one service in one region, sent to other regions.
struct RegionSummary {
  1: string region
  2: string serviceName
  3: i32 slots
  4: i32 busySlots
  5: i32 queueWaitMs
  6: i32 ageMs
  7: i32 meanServiceMs
}

// The sender's share of the use of one organisation's limit.
struct Demand {
  1: i64 organisation  // hash of service and organisation
  2: i32 requestsPerSecond
  3: i32 tokensPerSecond
}

// Use of organisations' limits in one region, summed over its instances.
struct RegionDemand {
  1: string region
  2: list<Demand> demands
  3: i32 ageMs
}

struct QuarantineEntry {
  1: i64 fingerprint
  2: i32 crashes
  3: i32 remainingMs
  4: i64 backend       // hash of the backend server that died
  5: i64 death         // identifies the crash, so that a late entry is not counted as another one
}

// A request under which backend servers had crashed was served.
struct ServedEntry {
  1: i64 fingerprint
  2: i32 agoMs
}

// A backend server was lost while a request whose prompt has these parts was in progress there.
struct PromptLoss {
  1: i32 id            // assigned by the instance that sent the request
  2: i32 server        // short hash of the server's service and name
  3: list<i32> parts   // short hashes of the parts that may be the cause
  4: i32 sentAgoMs
  5: i32 lostAgoMs
}

// A request whose prompt has this part was served.
struct PartSuccess {
  1: i32 part
  2: i32 agoMs
}

struct Heartbeat {
  1: Member sender
  2: i64 sequence
  3: i64 revisionDigest
  4: optional list<DocumentRevision> revisions
  5: optional binary loads // packed, see membership/packed_loads.hpp
  6: optional list<RegionSummary> summaries
  7: optional list<Demand> demands
  8: optional list<QuarantineEntry> quarantine
  9: optional list<Member> members
  10: bool ready       // the sender has asked its peers for their documents
  11: optional list<RegionDemand> regionDemands
  12: optional list<PromptLoss> promptLosses
  13: optional list<PartSuccess> partSuccesses // of parts that the losses name
  14: optional list<ServedEntry> served // of requests with quarantine entries; not sent by earlier versions
}

// Asks for the documents that are newer than these revisions.
struct DocumentPull {
  1: list<DocumentRevision> held
  2: bool complete     // held lists all documents of the sender; otherwise only the requested ones
}

struct DocumentPush {
  1: list<DocumentText> documents
  2: bool answer       // answers a complete pull, even if there are no documents to send
  3: bool last         // last message of such an answer
  4: optional list<DocumentRevision> notices // documents that the receiver will soon get from other instances
}

struct Header {
  1: string name
  2: string value
}

// A caller's request, forwarded to the instance that executes it.
struct Forward {
  1: string serviceName
  2: string route
  3: string organisation
  4: string method
  5: string target
  6: list<Header> headers
  7: binary body
  8: string key
  9: i32 remainingMs
  10: string originInstance
  11: string originRegion
  12: i32 regionHops
  13: i32 localHops
  14: string traceparent
  15: i64 revision
  16: string requestId
  17: i32 resumeOffset // number of whole tokens that the caller has already received
  18: string backendKey // idempotency key to pass on to the backend server; key is empty then
  19: optional i64 streamSoftware // hash of the software that began the stream, if the caller has events of it
}

struct AnswerHead {
  1: i32 status
  2: list<Header> headers
  3: i64 software      // hash of the software of the server that writes the stream; not sent by earlier versions
}

struct AnswerChunk {
  1: i64 offset
  2: binary data
}

// Ends an answer. errorCode is empty if the answer is complete.
struct AnswerEnd {
  1: string errorCode
  2: string detail
  3: i32 runState
  4: i64 length
}

struct Cancel {
}

// Checks that a link still carries frames. The receiver answers with a Pong.
struct Ping {
}

struct Pong {
}

// Exactly one of the optional fields is set. Stream 0 is for control frames.
struct Frame {
  1: i64 stream
  2: optional Hello hello
  3: optional Heartbeat heartbeat
  4: optional DocumentPull documentPull
  5: optional DocumentPush documentPush
  6: optional Forward forward
  7: optional AnswerHead answerHead
  8: optional AnswerChunk answerChunk
  9: optional AnswerEnd answerEnd
  10: optional Cancel cancel
  11: optional Ping ping
  12: optional Pong pong
}
