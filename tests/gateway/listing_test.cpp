// Tests of what the list of backend servers may hold, over the whole path of the gateway on
// loopback.

#include "gateway_fixture.hpp"

#include "snipestall/base/random.hpp"

#include <array>
#include <string>
#include <vector>

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
    /// Waits until the metrics page of the gateway contains `line`.
    Task<void> untilMetric(std::string line)
    {
        while (true) {
            const HttpResponse page = co_await fetch(m_metrics, "/metrics");
            if (page.body.find("\n" + line + "\n") != std::string::npos)
                co_return;
            co_await wire::sleepFor(5ms);
        }
    }

    /// Stores entries of other services, most of them damaged, some under malformed keys.
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

// Guards against tens of calls to the store for one wave of reclaimed servers, by each instance
// that reads: every notice ends the pending poll, and the next notice ends the next poll.
TEST_F(ListingTest, ChangesThatComeInARowAreReadTogether)
{
    publish();
    run([this]() -> Task<void> {
        co_await untilServing();
        // An instance does not read on behalf of others until it is known to be the only instance.
        while (m_store.polls() < 2)
            co_await wire::sleepFor(5ms);
        const std::size_t before = m_store.polls();
        const auto begun = std::chrono::steady_clock::now();
        for (int i = 0; i < JunkEntries; ++i) {
            m_store.put({ "servers", "", m_first.id() }, m_first.entry());
            co_await wire::sleepFor(2ms);
        }
        const auto passed = std::chrono::steady_clock::now() - begun;
        // Each of the two tables is polled at most once in 200 ms, besides the polls that were
        // pending.
        EXPECT_LE(m_store.polls() - before, 2 * (passed / 200ms + 2));
    });
}

// Guards against refusing every request although servers are ready: another program wrote into the
// table of the servers, and one entry that could not be decoded invalidated the page that held the
// others.
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

// Guards against instances that end, or that follow the list no more, because one entry is nested
// very deeply, holds a number that is too large, or names no port. The second instance gets the
// entries from the first one as well.
TEST_F(ListingTest, OddEntriesNeitherEndAnInstanceNorStopItsReading)
{
    const std::string address = R"(,"address":"127.0.0.1:)";
    const std::string begin = R"({"service":"ledger","zone":"east","state":"ready","slotCount":)";
    const std::string large = std::string(400, '9');
    const std::vector<std::string> odd {
        std::string(20000, '['),
        std::string(20000, '[') + std::string(20000, ']'),
        begin + "4" + address + R"(9","x":)" + std::string(5000, '[') + std::string(5000, ']')
            + "}",
        begin + "1e999" + address + "9\"}",
        begin + large + address + "9\"}",
        begin + "18446744073709551616" + address + "9\"}",
        begin + "-1" + address + "9\"}",
        begin + "4,\"born\":9007199254740992" + address + "9\"}",
        begin + "4,\"born\":1e308" + address + "9\"}",
        begin + "4,\"state\":\"draining\",\"leaves_ms\":1e300" + address + "9\"}",
        begin + "4" + address + "70000\"}",
        begin + "4" + address + "99999999999\"}",
        begin + "4" + address + "-1\"}",
        begin + "4" + address + "0\"}",
        begin + "4" + address + "\"}",
        begin + R"(4,"address":7})",
        begin + R"("4","address":["127.0.0.1:9"]})",
        "",
        "null",
        "\xff\xfe",
    };
    m_store.put({ "op", "", "config" }, GatewayTestConfig);
    m_store.put({ "servers", "", m_first.id() }, m_first.entry());
    const Instance other = startInstance(settingsOf("edge-2"));
    run([this, &odd, &other]() -> Task<void> {
        co_await untilServing(other.metrics, 1);
        co_await untilServing(m_metrics, 1);
        for (std::size_t i = 0; i < odd.size(); ++i) {
            for (const char *table : { "servers", "instances" })
                m_store.put({ table, "", "odd-" + std::to_string(i) }, odd[i]);
        }
        co_await wire::sleepFor(500ms);
        m_store.put({ "servers", "", m_second.id() }, m_second.entry());
        m_store.remove({ "servers", "", m_first.id() });
        for (const wire::Endpoint &callers : { m_callers, other.callers }) {
            HttpResponse response;
            do {
                response = co_await fetch(callers, "/safe/x");
            } while (response.fields.find("X-Server-Seal") != "seal-i-2");
            for (int i = 0; i < 20; ++i) {
                response = co_await fetch(callers, "/once/x", "POST");
                EXPECT_EQ(response.status, 200);
            }
        }
    });
}

// Guards against sending requests to a server that has left: another program has overwritten its
// entry, and nothing removes what that program wrote.
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

// Guards against sending no more requests to a server that starts again under the same id after it
// crashed and its entry was removed. Half of the calls failed for the rest of the day.
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
