#pragma once

#include "yuccashift/kernel/sharded_map.hpp"
#include "yuccashift/routing/backend_key.hpp"

#include <cstdint>
#include <vector>

namespace yuccashift {

/** Fingerprints of this instance's requests on each backend server. Thread safe. */
class InProgressBook {
public:
    /** Counts a request for as long as it lives. */
    class Entry {
    public:
        Entry(InProgressBook&, BackendKey, std::uint64_t fingerprint);
        ~Entry();
        Entry(const Entry&) = delete;
        Entry& operator=(const Entry&) = delete;

    private:
        InProgressBook& m_book;
        BackendKey m_backend;
        std::uint64_t m_fingerprint;
    };

    std::vector<std::uint64_t> on(const BackendKey&);
    /** Those that were in progress at a death which has not been taken before; each is returned once. */
    std::vector<std::uint64_t> takeForDeath(const BackendKey&);

private:
    struct Listed {
        std::uint64_t fingerprint = 0;
        const Entry* entry = nullptr;
        bool taken = false;
    };

    ShardedMap<BackendKey, std::vector<Listed>> m_listed;
};

} // namespace yuccashift
