#include "line_writer.hpp"

#include <gtest/gtest.h>

#include <array>
#include <cstdint>
#include <sstream>
#include <unistd.h>

namespace snipestall {
namespace {

std::string readAll(int descriptor)
{
    std::string text;
    std::array<char, 4096> bytes {};
    for (ssize_t count = 0; (count = ::read(descriptor, bytes.data(), bytes.size())) > 0;)
        text.append(bytes.data(), static_cast<std::size_t>(count));
    return text;
}

/// Returns the sum of the counts of dropped lines that the complete lines of a log report.
std::uint64_t reportedDropped(const std::string &log)
{
    const std::string mark = "\"log-lines-dropped\",\"count\":";
    std::istringstream lines(log.substr(0, log.rfind('\n') + 1));
    std::uint64_t sum = 0;
    for (std::string line; std::getline(lines, line);) {
        const std::size_t at = line.find(mark);
        if (at != std::string::npos)
            sum += std::stoull(line.substr(at + mark.size()));
    }
    return sum;
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

// Guards against an instance whose requests all stop: the program that reads its log is stopped,
// the pipe fills up, and the I/O loop blocks in a write.
TEST(LineWriter, AStoppedReaderDropsLinesWithoutBlocking)
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
        // Once the reader continues, the loss is reported: in one line, or in several if the writer
        // took a batch while lines were still being dropped.
        std::array<char, 65536> bytes {};
        while (reportedDropped(text) < dropped) {
            const ssize_t count = ::read(pipe[0], bytes.data(), bytes.size());
            ASSERT_GT(count, 0);
            text.append(bytes.data(), static_cast<std::size_t>(count));
        }
    }
    EXPECT_EQ(reportedDropped(text), dropped);
    ::close(pipe[0]);
    ::close(pipe[1]);
}

} // namespace
} // namespace snipestall
