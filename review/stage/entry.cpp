#include "review/stage/entry.hpp"

#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace stage {

namespace {

    constexpr std::string_view settingsVariable = "YUCCASHIFT_NODE_FILE";

    /** `NAME=value` of a variable of this process; empty if it has none. */
    std::string passedOn(const std::string& name)
    {
        const char* value = std::getenv(name.c_str());
        return value ? name + "=" + value : std::string();
    }

    std::string quoted(const std::string& text)
    {
        return "\"" + text + "\"";
    }

} // namespace

Ports freePorts(const std::vector<std::string>& ips)
{
    std::set<std::uint16_t> ports;
    while (ports.size() < 5)
        ports.insert(freePort(ips));
    auto it = ports.begin();
    Ports out;
    for (auto* port : { &out.callers, &out.readiness, &out.directory, &out.control, &out.peers })
        *port = *it++;
    return out;
}

Entry::Entry(const Deployment& deployment, const Machine& machine)
    : m_deployment(deployment)
    , m_machine(machine)
{
}

Entry::~Entry()
{
    end();
}

void Entry::end()
{
    if (m_pid <= 0)
        return;
    kill(m_pid, SIGKILL);
    (void)waitpid(m_pid, nullptr, 0);
    m_pid = -1;
}

std::string Entry::settings() const
{
    const auto& ports = m_deployment.ports;
    const auto at = [&](std::uint16_t port) { return quoted(m_machine.ip + ":" + std::to_string(port)); };
    std::ostringstream out;
    out << "node: " << quoted(m_machine.name) << "\nrole: \"entry\"\nmachineClass: \"front\"\n"
        << "serves:\n  - \"front\"\n  - \"control\"\n  - \"directory\"\n"
        << "ip: " << quoted(m_machine.ip) << "\nzone: " << quoted(m_machine.zone) << "\nregion: " << quoted(m_machine.region) << "\nzones:\n";
    for (const auto& [zone, region] : m_deployment.zones)
        out << "  " << zone << ": " << quoted(region) << "\n";
    out << "listen:\n  front: " << at(ports.callers) << "\n  ready: " << at(ports.readiness) << "\n  control: " << at(ports.control) << "\n  directory: " << at(ports.directory) << "\n"
        << "internalPorts:\n  - " << ports.peers << "\n  - " << ports.peers << "\nseeds:\n";
    for (std::size_t i = 0; i < std::min<std::size_t>(3, m_deployment.machines.size()); ++i)
        out << "  - " << quoted(m_deployment.machines[i].ip + ":" + std::to_string(ports.control)) << "\n";
    out << "bootstrap: " << (m_startedBefore ? "false" : "true") << "\ninLossBudget: false\n"
        << "limits:\n  cpuShare: 0.25\n  cores: 1\n  memoryMb: 260\n  fileDescriptors: 4100\n  linkMbps: 1000.0\n  diskMb: 0\n"
        << "dataDir: null\ndiscovery: \"platform\"\nentry: \"directory\"\nheartbeatMs: 1200\n"
        << "faultTolerance:\n  machines: 2\n  zones: 1\n  regions: 1\n"
        << "bounds:\n  seedLagS: 3\n  reuseAfterS: 2\n  stabilityWindowMs: 5000\n  ackMs: 6000\n  syncS: 4\n  drainMs: 3000\n  graceS: 8\n  lossSlackMs: 200\n  configMs: 3000\n"
        << "  rollbackSlackMs: 250\n  outerMs: 8000\n  budgetRatio: 0.2\n  budgetWindowS: 10\n  budgetSlack: 58\n  coldOverage: 1.5\n  coldSlack: 3\n  evacuationMs: 5000\n  recoveryS: 12\n"
        << "  passMs: 600\n  reuseWindowS: 10\n  ttl_max_s: 5\n"
        << "platform:\n  address: " << quoted(m_deployment.storeAddress) << "\n  form: \"read\"\n  readsPerS: 2000\n  historyS: 20\n  valueBytes: 1048576\n";
    return out.str();
}

void Entry::start()
{
    const auto file = m_deployment.folder + "/" + m_machine.name + ".yaml";
    const auto log = m_deployment.folder + "/" + m_machine.name + ".log";
    std::ofstream(file) << settings();
    std::vector<std::string> variables { std::string(settingsVariable) + "=" + file };
    for (const auto* name : { "PATH", "HOME", "LANG" }) {
        if (auto text = passedOn(name); !text.empty())
            variables.push_back(std::move(text));
    }
    std::vector<char*> environment;
    environment.reserve(variables.size() + 1);
    for (auto& it : variables)
        environment.push_back(it.data());
    environment.push_back(nullptr);
    auto program = m_deployment.program;
    std::vector<char*> arguments { program.data(), nullptr };
    m_startedBefore = true;
    m_pid = fork();
    if (m_pid < 0)
        throw std::runtime_error("no process could be started");
    if (m_pid > 0)
        return;
    (void)prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    (void)dup2(out, STDOUT_FILENO);
    (void)dup2(out, STDERR_FILENO);
    execve(arguments.front(), arguments.data(), environment.data());
    _exit(127);
}

void Entry::signal(int number) const
{
    kill(m_pid, number);
}

bool Entry::ended()
{
    if (m_pid > 0 && waitpid(m_pid, nullptr, WNOHANG) == m_pid)
        m_pid = -1;
    return m_pid <= 0;
}

bool Entry::waitReady(std::chrono::seconds limit) const
{
    constexpr auto pause = std::chrono::milliseconds(50);
    for (const auto until = Clock::now() + limit; Clock::now() < until; std::this_thread::sleep_for(pause)) {
        const auto answer = call(m_machine.ip, m_deployment.ports.readiness, "GET", "/yuccashift/readiness");
        if (answer && answer->status == 200)
            return true;
    }
    return false;
}

} // namespace stage
