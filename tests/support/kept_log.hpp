#pragma once

#include "yuccashift/kernel/log.hpp"

#include <string>
#include <vector>

namespace yuccashift::test {

/** Keeps all lines of the log as long as it lives, instead of writing them. */
class KeptLog final : public LogSink {
public:
    KeptLog() { setLogSink(this); }
    ~KeptLog() override { setLogSink(nullptr); }
    KeptLog(const KeptLog&) = delete;
    KeptLog& operator=(const KeptLog&) = delete;

    void write(LogLevel, std::string_view message, LogFields fields) override { lines.push_back(formatLogLine(message, fields)); }

    std::vector<std::string> lines;
};

} // namespace yuccashift::test
