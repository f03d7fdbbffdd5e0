// What the list of backend servers may hold, over the gateway's whole path on loopback.

#include "gateway_fixture.hpp"

#include "snipestall/base/random.hpp"

#include <array>

namespace snipestall::gateway {
namespace {

using namespace std::chrono_literals;
using wire::HttpResponse;
using wire::Task;

constexpr std::uint64_t Seed = 20261203;
constexpr int JunkEntries = 300;

class ListingTest : public GatewayPathTest
{
protected:
    /// Waits until the gateway's page of metrics has this line.
    Task<void> untilMetric(std::string line)
    {
        while (true) {
            const HttpResponse page = co_await fetch(m_metrics, "/metrics");
            if (page.body.find("\n" + line + "\n") != std::string::npos)
                co_return;
            co_await wire::sleepFor(5ms);
        }
    }

    /// Entries of other services, most of them damaged, some under odd keys.
    void putJunk()
    {
        Random random(Seed);
        for (int i = 0; i < JunkEntries; ++i) {
            std::string entry =
                R"({"service":"other","zone":"east","slotCount":4,"born":5,"state":"ready",)"
                R"("address":"127.0.0.1:9"})";
            for (std::uint64_t n = random.below(5); n > 0; --n)
                entry[random.below(entry.size())] = "{}[]\",:0-eE."[random.below(12)];
            std::string key = (i % 2 == 0 ? "a-" : "z-") + std::to_string(i);
            if (i % 7 == 0)
                key += "\r\nX-Expect-Instance: i-1";
            if (i % 5 == 0)
                m_store.putUnreadable({ "servers", "", key });
            else
                m_store.put({ "servers", "", key }, entry);
        }
    }
};

// The store is called tens of times for one wave of reclaimed servers, by each instance that reads:
// every notice ends the poll that waits, and the next poll is ended by the next notice.
TEST_F(ListingTest, ChangesThatComeInARowAreReadTogether)
{
    publish();
    run([this]() -> Task<void> {
        co_await untilServing();
        // Until it is known to be the only instance, it does not read for others.
        while (m_store.polls() < 2)
            co_await wire::sleepFor(5ms);
        const std::size_t before = m_store.polls();
        const auto begun = std::chrono::steady_clock::now();
        for (int i = 0; i < JunkEntries; ++i) {
            m_store.put({ "servers", "", m_first.id() }, m_first.entry());
            co_await wire::sleepFor(2ms);
        }
        const auto passed = std::chrono::steady_clock::now() - begun;
        // Two tables, each polled once in 200 ms at most, and the polls that were waiting.
        EXPECT_LE(m_store.polls() - before, 2 * (passed / 200ms + 2));
    });
}

// Every request is refused although servers stand ready: another program wrote into the table of
// the servers, and one entry that could not be decoded spoiled the page that held the others.
TEST_F(ListingTest, EntriesFromAnotherWriterSpoilNothing)
{
    putJunk();
    publish();
    run([this]() -> Task<void> {
        HttpResponse response;
        do {
            response = co_await fetch(m_callers, "/safe/x");
        } while (response.status != 200);
        putJunk();
        m_store.putUnreadable({ "op", "", "config" });
        m_store.put({ "op", "", "note" }, "{");
        for (int i = 0; i < 20; ++i) {
            response = co_await fetch(m_callers, "/once/x", "POST");
            EXPECT_EQ(response.status, 200);
        }
    });
}

// A server that left goes on getting requests: another program has overwritten its entry, and
// nobody removes what that program wrote.
TEST_F(ListingTest, AnOverwrittenEntryNamesNoServerUntilItIsRenewed)
{
    publish();
    run([this]() -> Task<void> {
        co_await untilServing();
        m_store.put({ "servers", "", m_first.id() }, "[]");
        co_await untilMetric("snipestall_gateway_servers 1");
        m_store.put({ "servers", "", m_first.id() }, m_first.entry());
        co_await untilServing();
    });
}

// Half of the calls fail for the rest of the day: a server crashed, its entry was removed, and it
// started again under the same id.
TEST_F(ListingTest, AServerThatStartsAgainUnderItsIdGetsWork)
{
    publish();
    run([this]() -> Task<void> {
        co_await untilServing();
        m_store.remove({ "servers", "", m_first.id() });
        co_await untilMetric("snipestall_gateway_servers 1");
        m_store.put({ "servers", "", m_first.id() }, m_first.entry(R"("ready")", 2));
        co_await untilServing();
        m_store.remove({ "servers", "", m_second.id() });
        co_await untilMetric("snipestall_gateway_servers 1");
        const HttpResponse response = co_await fetch(m_callers, "/safe/x");
        EXPECT_EQ(response.status, 200);
        EXPECT_EQ(m_first.ran().size(), 1U);
    });
}

} // namespace
} // namespace snipestall::gateway
