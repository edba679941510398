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

/** One `key=value` of a log line. Values of keys that name secrets are not written. */
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
 * Sets the lowest level written (`debug`, `info`, `warning` or `error`) and the
 * instance named in each line. Call once, before other threads log. False where
 * the level is unknown; the level is then `info`.
 */
bool initialiseLog(std::string_view level, std::string_view instance);

/** Takes log lines instead of standard error. */
class LogSink {
public:
    virtual ~LogSink();
    /** `message` names the kind of the line; `fields` are formatted as in formatLogLine(). */
    virtual void write(LogLevel, std::string_view message, LogFields fields) = 0;
};

/** Sends all further lines to the sink, or to standard error again where it is null. Call while no other thread logs. */
void setLogSink(LogSink*);

/** `debug`, `info`, `warning` or `error`. */
std::string_view toString(LogLevel);

/** Writes one line to standard error: time, level, message, then the fields. Thread safe. */
void log(LogLevel, std::string_view message, LogFields = {});

inline void logDebug(std::string_view message, LogFields fields = {}) { log(LogLevel::Debug, message, fields); }
inline void logInfo(std::string_view message, LogFields fields = {}) { log(LogLevel::Info, message, fields); }
inline void logWarning(std::string_view message, LogFields fields = {}) { log(LogLevel::Warning, message, fields); }
inline void logError(std::string_view message, LogFields fields = {}) { log(LogLevel::Error, message, fields); }

/** The message and its fields as one line; control characters are escaped. */
std::string formatLogLine(std::string_view message, LogFields);

/** Appends ` key=value`; secrets are left out and control characters escaped. */
void appendLogField(std::string& line, const LogField&);

} // namespace yuccashift
