#include "line_writer.hpp"

#include <gtest/gtest.h>

#include <array>
#include <cstdint>
#include <unistd.h>

namespace snipestall {
namespace {

std::string readAll(int descriptor)
{
    std::string text;
    std::array<char, 4096> bytes {};
    for (ssize_t got = 0; (got = ::read(descriptor, bytes.data(), bytes.size())) > 0;)
        text.append(bytes.data(), static_cast<std::size_t>(got));
    return text;
}

TEST(LineWriter, WritesEveryLineInOrder)
{
    std::array<int, 2> pipe {};
    ASSERT_EQ(::pipe(pipe.data()), 0);
    std::string expected;
    {
        LineWriter writer(pipe[1]);
        for (int i = 0; i < 100; ++i) {
            writer.write("line " + std::to_string(i));
            expected += "line " + std::to_string(i) + "\n";
        }
    }
    ::close(pipe[1]);
    EXPECT_EQ(readAll(pipe[0]), expected);
    ::close(pipe[0]);
}

// All requests of an instance stand still: the program that reads its log is stopped, the pipe
// fills up, and the loop waits in a write.
TEST(LineWriter, AReaderThatStopsCostsLinesAndNoTime)
{
    std::array<int, 2> pipe {};
    ASSERT_EQ(::pipe(pipe.data()), 0);
    std::uint64_t dropped = 0;
    std::string text;
    {
        LineWriter writer(pipe[1]);
        const std::string line(1000, 'x');
        for (int i = 0; i < 5000; ++i)
            writer.write(line);
        dropped = writer.dropped();
        EXPECT_GT(dropped, 1000U);
        // Once the reader goes on, the loss is said.
        std::array<char, 65536> bytes {};
        while (text.find("log-lines-dropped") == std::string::npos) {
            const ssize_t got = ::read(pipe[0], bytes.data(), bytes.size());
            ASSERT_GT(got, 0);
            text.append(bytes.data(), static_cast<std::size_t>(got));
        }
    }
    EXPECT_NE(text.find("\"count\":" + std::to_string(dropped)), std::string::npos);
    ::close(pipe[0]);
    ::close(pipe[1]);
}

} // namespace
} // namespace snipestall
