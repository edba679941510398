#include "cli/arguments.hpp"

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sstream>

namespace yuccashift::cli {

namespace {

    constexpr const char* tokenVariable = "YUCCASHIFT_OPERATOR_TOKEN";

    std::string trimTrailingNewlines(std::string text)
    {
        while (!text.empty() && (text.back() == '\n' || text.back() == '\r'))
            text.pop_back();
        return text;
    }

} // namespace

Arguments::Arguments(std::string_view command, std::string_view summary)
    : m_command("yuccashift " + std::string(command))
    , m_line(std::string(summary), ' ', "0.1.0")
    , m_json("", "json", "print JSON", m_line)
{
    m_line.setExceptionHandling(false);
}

void Arguments::parse(std::span<const std::string> arguments)
{
    std::vector<std::string> all { m_command };
    all.insert(all.end(), arguments.begin(), arguments.end());
    m_line.parse(all);
}

InstanceArguments::InstanceArguments(TCLAP::CmdLine& line)
    : m_instances("i", "instance", "operators' address of an instance; may be repeated", true, "ip:port", line)
    , m_tokenFile("", "token-file", std::string("file with the operator's credential; else ") + tokenVariable, false, "", "file", line)
{
}

std::vector<Endpoint> InstanceArguments::instances()
{
    std::vector<Endpoint> endpoints;
    for (const auto& text : m_instances.getValue()) {
        Endpoint endpoint;
        if (!parseEndpoint(text, endpoint))
            throw TCLAP::CmdLineParseException("'" + text + "' is not ip:port", "instance");
        endpoints.push_back(endpoint);
    }
    return endpoints;
}

std::string InstanceArguments::token()
{
    if (m_tokenFile.isSet()) {
        const auto text = readFile(m_tokenFile.getValue());
        if (!text)
            throw TCLAP::CmdLineParseException("cannot be read", "token-file");
        return trimTrailingNewlines(*text);
    }
    const char* value = std::getenv(tokenVariable);
    if (value == nullptr)
        throw TCLAP::CmdLineParseException(std::string("give --token-file or set ") + tokenVariable, "token-file");
    return value;
}

std::optional<std::string> readFile(const std::string& name)
{
    std::ostringstream text;
    if (name == "-") {
        text << std::cin.rdbuf();
        return text.str();
    }
    const std::ifstream in(name);
    if (!in)
        return std::nullopt;
    text << in.rdbuf();
    return text.str();
}

} // namespace yuccashift::cli
