#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <sys/types.h>
#include <vector>

namespace yuccashift::test {

/** A child process started by a test. The destructor kills it by its process id. */
class ChildProcess {
public:
    /** Starts `command` with `input` as its standard input; standard output and error go to files in `folder`. */
    ChildProcess(const std::vector<std::string>& command, const std::string& input, const std::string& folder, const std::string& name);
    ~ChildProcess();
    ChildProcess(const ChildProcess&) = delete;
    ChildProcess& operator=(const ChildProcess&) = delete;

    pid_t pid() const { return m_pid; }
    void signal(int number) const;
    /** Waits for the first line of output that begins with `start`; throws if the process exits first or no such line arrives in time. */
    std::string waitForLine(std::string_view start);
    /** Exit code, or the negated number of the signal that ended the process; std::nullopt while it runs. */
    std::optional<int> exitCode();
    /** Waits until the process exits and returns its exit code; std::nullopt if the wait times out. */
    std::optional<int> waitForExit();
    /** Everything the process wrote to standard output so far. */
    std::string output() const;
    /** Everything the process wrote to standard error so far. */
    std::string errors() const;

private:
    pid_t m_pid = -1;
    std::string m_outputFile;
    std::string m_errorFile;
    std::optional<int> m_exitCode;
};

/** Creates an empty folder for the output of one test's processes and returns its path. */
std::string makeFolder(const std::string& name);

} // namespace yuccashift::test
