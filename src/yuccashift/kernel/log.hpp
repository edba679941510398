#pragma once

#include <concepts>
#include <initializer_list>
#include <string>
#include <string_view>

namespace yuccashift {

enum class LogLevel {
    Debug,
    Info,
    Warning,
    Error,
};

/** A `key=value` field of a log line. The value is redacted if the key names a secret. */
struct LogField {
    LogField(std::string_view key, std::string_view value)
        : key(key)
        , value(value)
    {
    }

    template <typename Number>
    requires std::integral<Number> || std::floating_point<Number>
    LogField(std::string_view key, Number number)
        : key(key)
        , value(std::to_string(number))
    {
    }

    std::string_view key;
    std::string value;
};

using LogFields = std::initializer_list<LogField>;

/**
 * Sets the minimum level (`debug`, `info`, `warning` or `error`) and the instance
 * name that each line contains. Call once, before other threads log. Returns false
 * and uses `info` if the level is unknown.
 */
bool initialiseLog(std::string_view level, std::string_view instance);

/** Receives log lines in place of standard error. */
class LogSink {
public:
    virtual ~LogSink();
    /** `message` identifies the event; write `fields` as formatLogLine() does, so that secrets are redacted. */
    virtual void write(LogLevel, std::string_view message, LogFields fields) = 0;
};

/** Redirects log lines to the sink, or back to standard error if it is null. Call while no other thread logs. */
void setLogSink(LogSink*);

/** Returns `debug`, `info`, `warning` or `error`. */
std::string_view toString(LogLevel);

/** Writes one line to the log sink, or to standard error: time, level, instance, message and fields. Thread-safe. */
void log(LogLevel, std::string_view message, LogFields = {});

inline void logDebug(std::string_view message, LogFields fields = {}) { log(LogLevel::Debug, message, fields); }
inline void logInfo(std::string_view message, LogFields fields = {}) { log(LogLevel::Info, message, fields); }
inline void logWarning(std::string_view message, LogFields fields = {}) { log(LogLevel::Warning, message, fields); }
inline void logError(std::string_view message, LogFields fields = {}) { log(LogLevel::Error, message, fields); }

/** Formats the message and its fields as one line. Control characters become spaces in the message and are escaped in values. */
std::string formatLogLine(std::string_view message, LogFields);

/** Appends ` key=value`; redacts secrets, and quotes and escapes special characters. */
void appendLogField(std::string& line, const LogField&);

} // namespace yuccashift
