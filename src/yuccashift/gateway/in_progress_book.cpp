#include "yuccashift/gateway/in_progress_book.hpp"

#include <algorithm>
#include <utility>

namespace yuccashift {

InProgressBook::Entry::Entry(InProgressBook& book, BackendKey backend, std::uint64_t fingerprint)
    : m_book(book)
    , m_backend(std::move(backend))
    , m_fingerprint(fingerprint)
{
    m_book.m_listed.withShard(m_backend, [&](auto& shard) { shard[m_backend].push_back({ m_fingerprint, this, false }); });
}

InProgressBook::Entry::~Entry()
{
    m_book.m_listed.withShard(m_backend, [&](auto& shard) {
        auto& listed = shard[m_backend];
        listed.erase(std::ranges::find(listed, this, &Listed::entry));
        if (listed.empty())
            shard.erase(m_backend);
    });
}

std::vector<std::uint64_t> InProgressBook::on(const BackendKey& backend)
{
    return m_listed.withShard(backend, [&](auto& shard) {
        std::vector<std::uint64_t> fingerprints;
        const auto it = shard.find(backend);
        if (it == shard.end())
            return fingerprints;
        for (const auto& listed : it->second)
            fingerprints.push_back(listed.fingerprint);
        return fingerprints;
    });
}

std::vector<std::uint64_t> InProgressBook::takeForDeath(const BackendKey& backend)
{
    return m_listed.withShard(backend, [&](auto& shard) {
        std::vector<std::uint64_t> fingerprints;
        const auto it = shard.find(backend);
        if (it == shard.end())
            return fingerprints;
        // Requests on one server notice its death at different times, up to a
        // progress timeout apart; without the mark one death would count as several.
        for (auto& listed : it->second) {
            if (!std::exchange(listed.taken, true))
                fingerprints.push_back(listed.fingerprint);
        }
        return fingerprints;
    });
}

} // namespace yuccashift
