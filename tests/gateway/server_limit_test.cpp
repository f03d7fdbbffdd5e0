// Tests of a backend server that names the number of requests per second that it takes, over the
// whole path on loopback.

#include "gateway_fixture.hpp"

#include <algorithm>
#include <chrono>
#include <string>
#include <vector>

namespace snipestall::gateway {
namespace {

using namespace std::chrono_literals;
using wire::Task;
using Time = std::chrono::steady_clock::time_point;

/// Time after a server has first named a limit within which all instances are to keep it.
constexpr std::chrono::seconds ContactTime { 3 };
constexpr std::chrono::seconds Window { 4 };
constexpr std::chrono::milliseconds RequestInterval { 40 };

/// Requests that a server with a limit may get within the window.
double allowedAt(double requestsPerSecond)
{
    return 1.5 * requestsPerSecond * static_cast<double>(Window.count()) + 5;
}

/// The highest number of arrivals within any window between two times.
std::size_t mostWithinWindow(const std::vector<Time> &arrivals, Time from, Time to)
{
    std::size_t most = 0;
    for (auto first = arrivals.begin(); first != arrivals.end(); ++first) {
        if (*first < from)
            continue;
        const Time end = std::min<Time>(*first + Window, to);
        const auto count =
            std::count_if(first, arrivals.end(), [end](Time each) { return each < end; });
        most = std::max(most, static_cast<std::size_t>(count));
    }
    return most;
}

class ServerLimitTest : public GatewayPathTest
{
protected:
    ServerLimitTest()
    {
        publish();
        for (const char *name : { "edge-2", "edge-3", "edge-4" })
            m_others.push_back(startInstance(settingsOf(name)));
        m_entries.push_back(m_callers);
        for (const Instance &instance : m_others)
            m_entries.push_back(instance.callers);
    }

    Task<void> untilAllServing()
    {
        co_await untilServing();
        for (const Instance &instance : m_others)
            co_await untilServing(instance.metrics, 2);
    }

    /// Sends requests to all instances in turn.
    Task<void> sendFor(std::chrono::milliseconds length)
    {
        const Time until = std::chrono::steady_clock::now() + length;
        while (std::chrono::steady_clock::now() < until) {
            const wire::Endpoint entry = m_entries[m_sent++ % m_entries.size()];
            const auto response = co_await fetch(entry, "/safe/x", "POST");
            m_served += response.status == 200 ? 1 : 0;
            co_await wire::sleepFor(RequestInterval);
        }
    }

    std::vector<Instance> m_others;
    std::vector<wire::Endpoint> m_entries;
    std::size_t m_sent = 0;
    std::size_t m_served = 0;
};

// Guards against a server in need that gets as many requests as before, since each instance keeps
// its limit alone or not at all; and against a server that gets too few once the limit is lifted.
TEST_F(ServerLimitTest, AllInstancesTogetherKeepTheLimitUntilItIsLifted)
{
    m_first.nameLimit("1.0");
    run([this]() -> Task<void> {
        co_await untilAllServing();
        const Time named = std::chrono::steady_clock::now();
        co_await sendFor(10s);
        EXPECT_LE(mostWithinWindow(m_first.arrivals(), named + ContactTime, Time::max()),
                  allowedAt(1));
        EXPECT_GE(mostWithinWindow(m_first.arrivals(), named + ContactTime, Time::max()), 2U);
        EXPECT_EQ(m_served, m_sent) << "the other server has room for all";
        m_first.nameLimit(std::nullopt);
        co_await sendFor(ContactTime);
        const std::size_t before = m_first.arrivals().size();
        const std::size_t sentBefore = m_sent;
        co_await sendFor(2s);
        EXPECT_GE(m_first.arrivals().size() - before, (m_sent - sentBefore) / 4);
    });
}

} // namespace
} // namespace snipestall::gateway
