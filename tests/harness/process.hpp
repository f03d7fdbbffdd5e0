#pragma once

#include "snipestall/base/result.hpp"

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <sys/types.h>

namespace snipestall::harness {

struct ProcessSpec
{
    std::string name;
    /// File name in the build's bin directory, or a path.
    std::string program;
    std::vector<std::string> arguments;
    /// Gets standard output and error, appended.
    std::string logFile;
};

/// A child process, known by its pid and by nothing else. Dies with the test's process.
class Process
{
public:
    static Result<std::unique_ptr<Process>> start(ProcessSpec spec);
    /// Kills it if it still runs.
    ~Process();
    Process(const Process &) = delete;
    Process &operator=(const Process &) = delete;

    [[nodiscard]] pid_t pid() const { return m_pid; }
    [[nodiscard]] const ProcessSpec &spec() const { return m_spec; }
    bool running();
    /// Exit status, or 128 + the signal that ended it; nothing while it runs.
    std::optional<int> exitStatus();

    /// SIGTERM, without waiting.
    void terminate();
    /// SIGTERM and waits for its end; nothing if it does not end within the limit.
    std::optional<int> stop(std::chrono::milliseconds limit);
    std::optional<int> stop();
    /// SIGKILL and waits for its end.
    void kill();
    /// SIGSTOP; returns once the process has stopped.
    void freeze();
    void thaw();
    [[nodiscard]] std::string log() const;

private:
    Process(ProcessSpec spec, pid_t pid);
    void signal(int number) const;
    void takeStatus(int status);

    ProcessSpec m_spec;
    pid_t m_pid;
    std::optional<int> m_exitStatus;
};

} // namespace snipestall::harness
