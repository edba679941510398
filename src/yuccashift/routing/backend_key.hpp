#pragma once

#include "yuccashift/kernel/ids.hpp"

#include <functional>

namespace yuccashift {

/** Identifies a backend server of a service. */
struct BackendKey {
    ServiceName service;
    BackendName backend;

    bool operator==(const BackendKey&) const = default;
};

} // namespace yuccashift

template <>
struct std::hash<yuccashift::BackendKey> {
    std::size_t operator()(const yuccashift::BackendKey& key) const noexcept
    {
        constexpr std::size_t multiplier = 0x9e3779b97f4a7c15;
        return std::hash<std::string> {}(key.service) * multiplier + std::hash<std::string> {}(key.backend);
    }
};
