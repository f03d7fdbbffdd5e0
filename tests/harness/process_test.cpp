#include "harness/process.hpp"
#include "harness/temp_dir.hpp"
#include "harness/wait_until.hpp"

#include <gtest/gtest.h>

namespace snipestall::harness {
namespace {

std::unique_ptr<Process> startShell(const TempDir &directory, const std::string &script)
{
    ProcessSpec spec { "shell", "/bin/sh", { "-c", script }, directory.file("log") };
    return std::move(Process::start(std::move(spec)).value());
}

TEST(ProcessTest, KeepsTheLogAndTheExitStatus)
{
    const TempDir directory;
    const auto process = startShell(directory, "echo out; echo err >&2; exit 3");
    ASSERT_TRUE(waitUntil([&] { return !process->running(); }));
    EXPECT_EQ(process->exitStatus(), 3);
    EXPECT_EQ(process->log(), "out\nerr\n");
}

TEST(ProcessTest, AFrozenProcessDoesNotRunUntilThawed)
{
    const TempDir directory;
    const auto process = startShell(directory, "while :; do echo x; sleep 0.01; done");
    ASSERT_TRUE(waitUntil([&] { return !process->log().empty(); }));
    process->freeze();
    const std::string before = process->log();
    EXPECT_EQ(process->log(), before);
    EXPECT_TRUE(process->running());
    process->thaw();
    EXPECT_TRUE(waitUntil([&] { return process->log() != before; }));
    process->kill();
    EXPECT_EQ(process->exitStatus(), 128 + 9);
}

TEST(ProcessTest, AMissingProgramIsAnError)
{
    EXPECT_FALSE(Process::start({ "none", "no-such-program", {}, "/dev/null" }).has_value());
}

} // namespace
} // namespace snipestall::harness
