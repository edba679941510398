#include "yuccashift/gateway/in_progress_book.hpp"

#include <algorithm>

namespace yuccashift {

InProgressBook::Entry::Entry(InProgressBook& book, BackendKey backend, std::uint64_t fingerprint)
    : m_book(book)
    , m_backend(std::move(backend))
    , m_fingerprint(fingerprint)
{
    m_book.m_fingerprints.withShard(m_backend, [&](auto& shard) { shard[m_backend].push_back(m_fingerprint); });
}

InProgressBook::Entry::~Entry()
{
    m_book.m_fingerprints.withShard(m_backend, [&](auto& shard) {
        auto& fingerprints = shard[m_backend];
        fingerprints.erase(std::ranges::find(fingerprints, m_fingerprint));
        if (fingerprints.empty())
            shard.erase(m_backend);
    });
}

std::vector<std::uint64_t> InProgressBook::on(const BackendKey& backend)
{
    return m_fingerprints.withShard(backend, [&](auto& shard) {
        const auto it = shard.find(backend);
        return it == shard.end() ? std::vector<std::uint64_t>() : it->second;
    });
}

} // namespace yuccashift
