#pragma once

#include "yuccashift/kernel/ids.hpp"

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>
#include <sys/types.h>
#include <vector>

namespace yuccashift::test {

/** What each client of a crowd sends. None of them reads an answer. */
enum class CrowdBehaviour {
    /** Trailer fields behind a chunked body, without end. */
    TrailersWithoutEnd,
    /** The line before a chunk, without end. */
    ChunkLineWithoutEnd,
    /** A body in chunks of 64 KiB that stops before its end. */
    LargeChunks,
    /** A body in chunks of three bytes that stops before its end. */
    TinyChunks,
    /** A body with a length, sent in part. */
    AnnouncedBody,
    /** A header that stops before its end. */
    Header,
    /** One complete request after another. */
    PipelinedRequests,
    /** The length of a frame of 8 MiB between instances of yuccashiftd, and its first bytes. */
    LargeFrame,
    /** One complete request. */
    OneRequest,
};

/** A crowd of clients that keep their connections open. */
struct CrowdSpec {
    Endpoint to;
    CrowdBehaviour behaviour = CrowdBehaviour::OneRequest;
    std::size_t connections = 1;
    /** Bytes after which each client stops sending; ignored for one request. */
    std::size_t bytesEach = 0;
    /** Length that AnnouncedBody names, in bytes. */
    std::size_t announcedBytes = 0;
    std::string target = "/";
    /** Header lines of each request, each with its end. */
    std::string headers {};
};

/** Plays a crowd from this process. The destructor closes its connections. */
class Crowd {
public:
    explicit Crowd(const CrowdSpec&);
    ~Crowd();
    Crowd(const Crowd&) = delete;
    Crowd& operator=(const Crowd&) = delete;

    /**
     * Sends until each client has stopped, is disconnected or is not read from any more. Calls `observe` from time to
     * time, and ends early if it returns false.
     */
    void play(const std::function<bool()>& observe);

private:
    struct Client {
        int socket = -1;
        std::size_t sent = 0;
        bool done = false;
    };

    void connect();
    void sendSome(Client&);
    std::string_view nextBytes(const Client&) const;

    CrowdSpec m_spec;
    std::size_t m_limit = 0;
    std::string m_first;
    std::string m_repeated;
    std::vector<Client> m_clients;
};

/** Records the memory that a process and the kernel's queues of its connections use. */
class MemoryRecorder {
public:
    /** @param listeners queues of connections to these endpoints are counted */
    MemoryRecorder(pid_t, std::vector<Endpoint> listeners);

    void sample();
    /** Highest resident memory of the process, plus the most bytes that were queued in a sample. */
    std::size_t peakBytes() const;

private:
    std::size_t queuedBytes() const;

    pid_t m_pid;
    std::vector<std::string> m_localAddresses;
    std::size_t m_mostQueued = 0;
};

/** Number of open file descriptors of a process. */
std::size_t openDescriptors(pid_t);

} // namespace yuccashift::test
