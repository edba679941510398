#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <sys/types.h>
#include <vector>

namespace yuccashift::test {

/** A program that a test started; it is killed by its id when the object ends. */
class ChildProcess {
public:
    /** Starts the program with this text as its standard input; its output goes to files in the folder. */
    ChildProcess(const std::vector<std::string>& command, const std::string& input, const std::string& folder, const std::string& name);
    ~ChildProcess();
    ChildProcess(const ChildProcess&) = delete;
    ChildProcess& operator=(const ChildProcess&) = delete;

    pid_t pid() const { return m_pid; }
    void signal(int number) const;
    /** The first line of output that starts like this; throws where the program ends or none comes. */
    std::string waitForLine(std::string_view start);
    /** Exit code, or minus the number of the signal that ended it; nothing while it runs. */
    std::optional<int> exitCode();
    /** Waits for its end; nothing where it does not come. */
    std::optional<int> waitForExit();
    /** What it wrote to standard output. */
    std::string output() const;
    /** What it wrote to standard error. */
    std::string errors() const;

private:
    pid_t m_pid = -1;
    std::string m_outputFile;
    std::string m_errorFile;
    std::optional<int> m_exitCode;
};

/** A new empty folder for the output of one test's programs. */
std::string makeFolder(const std::string& name);

} // namespace yuccashift::test
