#pragma once

#include "yuccashift/kernel/log.hpp"

#include <string>
#include <vector>

namespace yuccashift::test {

/** Log sink that collects all log lines in memory instead of writing them, until it is destroyed. */
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
