#include "benchmarks/capacity/samples.hpp"

#include <iomanip>
#include <sstream>

namespace yuccashift::capacity {

namespace {

    constexpr std::size_t regions = 24;

    std::string regionName(std::size_t n)
    {
        return "region-" + std::to_string(n % regions);
    }

    void writeHeader(std::ostream& out, const std::string& service, std::uint64_t revision, const char* kind)
    {
        out << "service: " << service << "\nowner: fleet-team\nrevision: " << revision << "\nkind: " << kind << "\nregions: [";
        for (std::size_t n = 0; n < regions; ++n)
            out << (n == 0 ? "" : ", ") << regionName(n);
        out << "]\n";
    }

    void writeBackends(std::ostream& out, std::size_t count, const std::string& extra)
    {
        out << "backends:\n";
        for (std::size_t n = 0; n < count; ++n) {
            out << "  - {name: worker-" << n << ", region: " << regionName(n) << ", datacentre: " << regionName(n) << "-a, address: \"10."
                << n / 65536 << "." << n / 256 % 256 << "." << n % 256 << ":9000\"" << extra << "}\n";
        }
    }

    void writeOrganisations(std::ostream& out, const std::string& service, std::size_t count)
    {
        constexpr int hashDigits = 64;
        out << "organisations:\n";
        for (std::size_t n = 0; n < count; ++n) {
            std::ostringstream hash;
            hash << std::hex << std::setfill('0') << std::setw(hashDigits) << std::hash<std::string> {}(service) % 65536 * 65536 + n;
            out << "  - {name: organisation-" << n << ", credential_sha256: [\"" << hash.str()
                << "\"], weight: 2, limits: {requests_per_second: 200, tokens_per_second: 40000}}\n";
        }
    }

} // namespace

std::string modelDocumentText(const std::string& service, std::uint64_t revision, std::size_t backends, std::size_t organisations)
{
    std::ostringstream out;
    writeHeader(out, service, revision, "model");
    out << "models: [{name: " << service << "-8b, version: v3, adapters: [bik, pool]}]\n";
    writeBackends(out, backends, ", fence: checked, slots: 16, models: [" + service + "-8b]");
    out << "routes: [{name: chat, path: /v1/chat/completions, priority: urgent, deadline_ms: 30000}]\n";
    writeOrganisations(out, service, organisations);
    return out.str();
}

std::string plainDocumentText(const std::string& service, std::uint64_t revision)
{
    constexpr std::size_t backends = 3;
    std::ostringstream out;
    writeHeader(out, service, revision, "plain");
    out << "path_prefix: /" << service << "\n";
    writeBackends(out, backends, "");
    out << "routes:\n  - {name: redeem, path: /redeem, idempotent: false, priority: urgent, deadline_ms: 2000}\n"
           "  - {name: balance, method: GET, path: /balance}\n";
    writeOrganisations(out, service, 1);
    return out.str();
}

} // namespace yuccashift::capacity
