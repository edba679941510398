#include "yuccashift/kernel/log.hpp"

#include <algorithm>
#include <array>
#include <atomic>
#include <easylogging++.h>
#include <optional>

// NOLINTNEXTLINE: the macro defines the global storage of Easylogging++.
INITIALIZE_EASYLOGGINGPP

namespace yuccashift {

namespace {

    constexpr auto levelNames = std::to_array<std::string_view>({ "debug", "info", "warning", "error" });
    constexpr auto secretKeyWords = std::to_array<std::string_view>({ "secret", "token", "password", "credential", "authorization", "peer_key" });

    std::atomic<LogLevel> minLevel { LogLevel::Info };
    std::atomic<LogSink*> logSink { nullptr };

    bool namesSecret(std::string_view key)
    {
        return std::ranges::any_of(secretKeyWords, [&](std::string_view word) { return key.find(word) != std::string_view::npos; });
    }

    bool needsNoQuotes(unsigned char c)
    {
        return c > ' ' && c < 0x7f && c != '"' && c != '\\' && c != '=';
    }

    void appendQuoted(std::string& line, std::string_view value)
    {
        constexpr std::string_view hexDigits = "0123456789abcdef";
        line += '"';
        for (const char c : value) {
            const auto byte = static_cast<unsigned char>(c);
            if (byte < ' ' || byte == 0x7f) {
                line += "\\x";
                line += hexDigits[byte >> 4];
                line += hexDigits[byte & 0xf];
                continue;
            }
            if (c == '"' || c == '\\')
                line += '\\';
            line += c;
        }
        line += '"';
    }

    std::optional<LogLevel> parseLevel(std::string_view level)
    {
        const auto it = std::ranges::find(levelNames, level);
        if (it == levelNames.end())
            return {};
        return static_cast<LogLevel>(it - levelNames.begin());
    }

    void configureLibrary(std::string_view instance)
    {
        el::Configurations configurations;
        configurations.setToDefault();
        configurations.setGlobally(el::ConfigurationType::ToFile, "false");
        configurations.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
        std::string format = "%datetime{%Y-%M-%dT%H:%m:%s.%g} %level ";
        // Percent signs are dropped because they start a format specifier of Easylogging++.
        std::ranges::copy_if(instance, std::back_inserter(format), [](char c) { return c != '%'; });
        configurations.setGlobally(el::ConfigurationType::Format, format + " %msg");
        el::Loggers::reconfigureAllLoggers(configurations);
    }

} // namespace

LogSink::~LogSink() = default;

void setLogSink(LogSink* sink)
{
    logSink = sink;
}

std::string_view toString(LogLevel level)
{
    return levelNames[static_cast<std::size_t>(level)];
}

void appendLogField(std::string& line, const LogField& field)
{
    line.append(" ").append(field.key).append("=");
    if (namesSecret(field.key))
        line += "redacted";
    else if (!field.value.empty() && std::ranges::all_of(field.value, needsNoQuotes))
        line += field.value;
    else
        appendQuoted(line, field.value);
}

std::string formatLogLine(std::string_view message, LogFields fields)
{
    std::string line;
    for (const char c : message)
        line += static_cast<unsigned char>(c) < ' ' ? ' ' : c;
    for (const auto& field : fields)
        appendLogField(line, field);
    return line;
}

bool initialiseLog(std::string_view level, std::string_view instance)
{
    configureLibrary(instance);
    const auto parsed = parseLevel(level);
    minLevel = parsed.value_or(LogLevel::Info);
    return parsed.has_value();
}

void log(LogLevel level, std::string_view message, LogFields fields)
{
    if (level < minLevel.load(std::memory_order_relaxed))
        return;
    if (auto* sink = logSink.load(std::memory_order_relaxed))
        return sink->write(level, message, fields);
    const std::string line = formatLogLine(message, fields);
    switch (level) {
    case LogLevel::Debug:
        LOG(DEBUG) << line;
        break;
    case LogLevel::Info:
        LOG(INFO) << line;
        break;
    case LogLevel::Warning:
        LOG(WARNING) << line;
        break;
    case LogLevel::Error:
        LOG(ERROR) << line;
        break;
    }
}

} // namespace yuccashift
