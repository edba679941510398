#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace yuccashift {

/**
 * Factories of the implementations of an interface, by name. A Registrar adds
 * each implementation before main() runs, so reads need no lock.
 */
template <typename Interface>
class Registry {
public:
    using Factory = std::function<std::unique_ptr<Interface>()>;

    static Registry& instance()
    {
        static Registry registry;
        return registry;
    }

    void add(std::string_view name, Factory factory)
    {
        m_factories.emplace(name, std::move(factory));
    }

    /** Creates an instance of the named implementation; returns null if the name is not registered. */
    std::unique_ptr<Interface> create(std::string_view name) const
    {
        const auto it = m_factories.find(std::string(name));
        return it == m_factories.end() ? nullptr : it->second();
    }

    std::vector<std::string> names() const
    {
        std::vector<std::string> names;
        for (const auto& [name, factory] : m_factories)
            names.push_back(name);
        return names;
    }

private:
    std::map<std::string, Factory> m_factories;
};

/** Registers an implementation in its constructor; define a static object in the source file of the implementation. */
template <typename Interface, typename Implementation>
struct Registrar {
    explicit Registrar(std::string_view name)
    {
        Registry<Interface>::instance().add(name, [] { return std::make_unique<Implementation>(); });
    }
};

} // namespace yuccashift
