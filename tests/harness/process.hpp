#pragma once

#include "snipestall/base/result.hpp"

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <sys/types.h>

namespace snipestall::harness {

/// How a process is started.
struct ProcessSpec
{
    std::string name;
    /// File name in the build's bin directory, or a path.
    std::string program;
    std::vector<std::string> arguments;
    /// File to which standard output and standard error are appended.
    std::string logFile;
};

/// A child process, identified by its pid alone. It is killed when the test's process ends.
class Process
{
public:
    static Result<std::unique_ptr<Process>> start(ProcessSpec spec);
    /// Kills the process if it still runs.
    ~Process();
    Process(const Process &) = delete;
    Process &operator=(const Process &) = delete;

    [[nodiscard]] pid_t pid() const { return m_pid; }
    [[nodiscard]] const ProcessSpec &spec() const { return m_spec; }
    bool running();
    /// Exit status, or 128 + the number of the signal that ended the process; nothing while it
    /// runs.
    std::optional<int> exitStatus();

    /// Sends SIGTERM and does not wait.
    void terminate();
    /// Sends SIGTERM and waits for the exit status; nothing if the process does not end within the
    /// limit.
    std::optional<int> stop(std::chrono::milliseconds limit);
    std::optional<int> stop();
    /// Sends SIGKILL and waits until the process has ended.
    void kill();
    /// Sends SIGSTOP and returns once the process has stopped.
    void freeze();
    void thaw();
    [[nodiscard]] std::string log() const;

private:
    Process(ProcessSpec spec, pid_t pid);
    void signal(int number) const;
    void recordExitStatus(int status);

    ProcessSpec m_spec;
    pid_t m_pid;
    std::optional<int> m_exitStatus;
};

} // namespace snipestall::harness
