#include "tests/support/child_process.hpp"

#include "tests/support/wait.hpp"

#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <fstream>
#include <spawn.h>
#include <sstream>
#include <stdexcept>
#include <sys/wait.h>
#include <unistd.h>

namespace yuccashift::test {

namespace {

    constexpr int openMode = 0600;

    std::string readWhole(const std::string& file)
    {
        std::ostringstream text;
        text << std::ifstream(file).rdbuf();
        return text.str();
    }

    /** Redirections of standard streams for posix_spawn. */
    class SpawnFiles {
    public:
        SpawnFiles() { posix_spawn_file_actions_init(&m_actions); }
        ~SpawnFiles() { posix_spawn_file_actions_destroy(&m_actions); }
        SpawnFiles(const SpawnFiles&) = delete;
        SpawnFiles& operator=(const SpawnFiles&) = delete;

        void open(int descriptor, const std::string& file, int flags)
        {
            posix_spawn_file_actions_addopen(&m_actions, descriptor, file.c_str(), flags, openMode);
        }

        const posix_spawn_file_actions_t* get() const { return &m_actions; }

    private:
        posix_spawn_file_actions_t m_actions {};
    };

} // namespace

ChildProcess::ChildProcess(const std::vector<std::string>& command, const std::string& input, const std::string& folder, const std::string& name)
    : m_outputFile(folder + "/" + name + ".out")
    , m_errorFile(folder + "/" + name + ".err")
{
    const auto inputFile = folder + "/" + name + ".in";
    std::ofstream(inputFile) << input;
    SpawnFiles files;
    files.open(STDIN_FILENO, inputFile, O_RDONLY);
    files.open(STDOUT_FILENO, m_outputFile, O_WRONLY | O_CREAT | O_TRUNC);
    files.open(STDERR_FILENO, m_errorFile, O_WRONLY | O_CREAT | O_TRUNC);
    std::vector<char*> arguments;
    arguments.reserve(command.size() + 1);
    for (const auto& argument : command)
        arguments.push_back(const_cast<char*>(argument.c_str()));
    arguments.push_back(nullptr);
    if (posix_spawn(&m_pid, arguments[0], files.get(), nullptr, arguments.data(), environ) != 0)
        throw std::runtime_error("cannot start " + command.front());
}

ChildProcess::~ChildProcess()
{
    if (exitCode())
        return;
    kill(m_pid, SIGKILL);
    waitpid(m_pid, nullptr, 0);
}

void ChildProcess::signal(int number) const
{
    if (!m_exitCode)
        kill(m_pid, number);
}

std::string ChildProcess::waitForLine(std::string_view start)
{
    std::string found;
    const bool came = waitUntil([&] {
        std::ifstream in(m_outputFile);
        for (std::string line; std::getline(in, line) && !in.eof();) {
            if (line.starts_with(start))
                found = line;
        }
        return !found.empty() || exitCode().has_value();
    });
    if (!came || found.empty())
        throw std::runtime_error(m_outputFile + ": no line '" + std::string(start) + "'\n" + errors());
    return found;
}

std::optional<int> ChildProcess::exitCode()
{
    int status = 0;
    if (!m_exitCode && waitpid(m_pid, &status, WNOHANG) == m_pid)
        m_exitCode = WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
    return m_exitCode;
}

std::optional<int> ChildProcess::waitForExit()
{
    waitUntil([&] { return exitCode().has_value(); });
    return m_exitCode;
}

std::string ChildProcess::output() const
{
    return readWhole(m_outputFile);
}

std::string ChildProcess::errors() const
{
    return readWhole(m_errorFile);
}

std::string makeFolder(const std::string& name)
{
    const char* base = std::getenv("TMPDIR");
    std::string pattern = std::string(base == nullptr ? "/tmp" : base) + "/yuccashift-" + name + "-XXXXXX";
    if (mkdtemp(pattern.data()) == nullptr)
        throw std::runtime_error("cannot make " + pattern);
    return pattern;
}

} // namespace yuccashift::test
