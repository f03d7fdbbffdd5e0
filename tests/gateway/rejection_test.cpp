// Tests of backend servers that fail if they have to reject requests, over the whole path on
// loopback.

#include "gateway_fixture.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <chrono>
#include <string>
#include <vector>

namespace snipestall::gateway {
namespace {

using namespace std::chrono_literals;
using wire::Task;
using Time = std::chrono::steady_clock::time_point;

/// Time after the servers have first said so from which on they may fail.
constexpr std::chrono::seconds ContactTime { 3 };
constexpr std::chrono::seconds LoadTime { 4 };
constexpr int Slots = 4;
constexpr std::chrono::milliseconds Work { 30 };
/// Rejections in a second with which a server fails.
constexpr std::size_t RejectionLimit = 3;
/// Callers that send one request after the other: five times what the servers have slots for.
constexpr int Callers = 40;

/// The highest number of rejections within any second after a time.
std::size_t mostWithinSecond(const std::vector<Time> &rejections, Time from)
{
    std::size_t most = 0;
    for (auto first = rejections.begin(); first != rejections.end(); ++first) {
        if (*first < from)
            continue;
        const auto count = std::count_if(first, rejections.end(),
                                         [end = *first + 1s](Time each) { return each < end; });
        most = std::max(most, static_cast<std::size_t>(count));
    }
    return most;
}

class RejectionTest : public GatewayPathTest
{
protected:
    RejectionTest()
    {
        publish();
        for (const char *name : { "edge-2", "edge-3", "edge-4", "edge-5", "edge-6" })
            m_others.push_back(startInstance(settingsOf(name)));
        m_entries.push_back(m_callers);
        for (const Instance &instance : m_others)
            m_entries.push_back(instance.callers);
        for (TestBackend *backend : { &m_first, &m_second })
            backend->limitSlots(Slots, Work, std::to_string(RejectionLimit));
    }

    Task<void> call(wire::Endpoint entry)
    {
        while (!m_stopped) {
            const auto response = co_await fetch(entry, "/safe/x", "POST");
            ++(response.status == 200 ? m_served : m_refused);
            // Callers respect the time to retry after.
            const auto pause = response.status == 200 ? 5ms : 100ms;
            co_await wire::sleepFor(pause);
        }
        --m_running;
    }

    std::vector<Instance> m_others;
    std::vector<wire::Endpoint> m_entries;
    bool m_stopped = false;
    int m_running = Callers;
    int m_served = 0;
    int m_refused = 0;
};

// Guards against servers that fail one after the other in a burst: every instance finds slots free
// that the others have just taken, and the servers reject what is sent to them all the same.
TEST_F(RejectionTest, ServersThatMustNotRejectGetWhatTheyHaveSlotsFor)
{
    run([this]() -> Task<void> {
        co_await untilServing();
        for (const Instance &instance : m_others)
            co_await untilServing(instance.metrics, 2);
        const Time named = std::chrono::steady_clock::now();
        for (int i = 0; i < Callers; ++i)
            boost::asio::co_spawn(m_io, call(m_entries[i % m_entries.size()]),
                                  boost::asio::detached);
        co_await wire::sleepFor(ContactTime + LoadTime);
        m_stopped = true;
        while (m_running > 0)
            co_await wire::sleepFor(5ms);
        for (const TestBackend *backend : { &m_first, &m_second })
            EXPECT_LE(mostWithinSecond(backend->rejections(), named + ContactTime), RejectionLimit);
        // Callers are served meanwhile, on whatever machine this runs.
        EXPECT_GE(m_served, 5 * Callers);
    });
}

} // namespace
} // namespace snipestall::gateway
