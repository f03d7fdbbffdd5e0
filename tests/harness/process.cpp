#include "harness/process.hpp"

#include "harness/temp_dir.hpp"
#include "harness/wait_until.hpp"

#include <cerrno>
#include <csignal>
#include <cstring>

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace snipestall::harness {

namespace {

constexpr int SignalBase = 128;
constexpr int ExecFailed = 127;
constexpr int LogMode = 0644;

std::string pathOf(const std::string &program)
{
    const bool path = program.find('/') != std::string::npos;
    return path ? program : std::string(SNIPESTALL_PROGRAMS) + "/" + program;
}

/// Runs in the child between fork and exec, so it makes only calls that are safe there.
[[noreturn]] void becomeProgram(pid_t parent, int log, const char *path, char *const *arguments)
{
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (getppid() != parent)
        _exit(ExecFailed);
    dup2(log, STDOUT_FILENO);
    dup2(log, STDERR_FILENO);
    execv(path, arguments);
    _exit(ExecFailed);
}

} // namespace

Process::Process(ProcessSpec spec, pid_t pid)
    : m_spec(std::move(spec))
    , m_pid(pid)
{ }

Result<std::unique_ptr<Process>> Process::start(ProcessSpec spec)
{
    const std::string path = pathOf(spec.program);
    if (access(path.c_str(), X_OK) != 0)
        return fail(ErrorKind::NotFound, "program " + path + " does not exist; build it first");
    std::vector<char *> arguments;
    std::string name = path;
    arguments.push_back(name.data());
    for (auto &argument : spec.arguments)
        arguments.push_back(argument.data());
    arguments.push_back(nullptr);
    const int log = open(spec.logFile.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, LogMode);
    const pid_t parent = getpid();
    const pid_t child = fork();
    if (child == 0)
        becomeProgram(parent, log, path.c_str(), arguments.data());
    close(log);
    if (child < 0)
        return fail(ErrorKind::Exhausted, std::string("cannot fork: ") + std::strerror(errno));
    return std::unique_ptr<Process>(new Process(std::move(spec), child));
}

Process::~Process()
{
    kill();
}

void Process::recordExitStatus(int status)
{
    if (WIFEXITED(status))
        m_exitStatus = WEXITSTATUS(status);
    else if (WIFSIGNALED(status))
        m_exitStatus = SignalBase + WTERMSIG(status);
}

std::optional<int> Process::exitStatus()
{
    int status = 0;
    if (!m_exitStatus && waitpid(m_pid, &status, WNOHANG) == m_pid)
        recordExitStatus(status);
    return m_exitStatus;
}

bool Process::running()
{
    return !exitStatus().has_value();
}

void Process::signal(int number) const
{
    if (!m_exitStatus)
        ::kill(m_pid, number);
}

void Process::terminate()
{
    signal(SIGTERM);
}

std::optional<int> Process::stop()
{
    return stop(WaitLimit);
}

std::optional<int> Process::stop(std::chrono::milliseconds limit)
{
    terminate();
    waitUntil([this] { return !running(); }, limit);
    return exitStatus();
}

void Process::kill()
{
    if (!running())
        return;
    signal(SIGKILL);
    int status = 0;
    if (waitpid(m_pid, &status, 0) == m_pid)
        recordExitStatus(status);
}

void Process::freeze()
{
    if (!running())
        return;
    signal(SIGSTOP);
    int status = 0;
    if (waitpid(m_pid, &status, WUNTRACED) == m_pid)
        recordExitStatus(status);
}

void Process::thaw()
{
    signal(SIGCONT);
}

std::string Process::log() const
{
    return readFile(m_spec.logFile);
}

} // namespace snipestall::harness
