#include "snipestall/gateway/table_exchange.hpp"

#include "test_text.hpp"

#include "snipestall/base/random.hpp"
#include "snipestall/gateway/table_copy.hpp"

#include "exchange.pb.h"

#include <gtest/gtest.h>

#include <utility>

namespace snipestall::gateway {
namespace {

using namespace std::chrono_literals;
namespace v1 = exchange::v1;

const SteadyTime Start { 100s };
/// Size that a report must not exceed by far, whatever has changed.
constexpr std::size_t MaxReportSize = 8192;

platform::StoredRow row(std::int64_t version, std::string value)
{
    return { { "op", "", "config" }, std::move(value), version, false };
}

/// An instance with a copy of one table.
struct Instance
{
    explicit Instance(const std::string &instance, const std::string &dataCentre = "east")
        : name(instance)
        , location(dataCentre)
        , tables(instance, dataCentre, 1)
    {
        tables.addTable(copy);
        copy.beginRead(Start);
        copy.readWhole({}, 10);
    }

    v1::LoadReport reportTo(const Instance &receiver, SteadyTime now)
    {
        v1::LoadReport report;
        report.set_instance(name);
        report.set_data_centre(location);
        tables.addTo(report, receiver.name, now);
        return report;
    }
    /// Returns the rows that the report has brought.
    std::vector<platform::StoredRow> receive(const v1::LoadReport &report, SteadyTime now)
    {
        std::vector<platform::StoredRow> rows;
        tables.reportReceived(report, now);
        for (const v1::TableState &state : report.tables()) {
            const auto changes = TableExchange::changesIn(state);
            if (changes && *changes)
                rows = copy.advanceFromPeer(**changes).value_or(rows);
            tables.offered(report.instance(), state, now);
        }
        return rows;
    }

    std::string name;
    std::string location;
    TableCopy copy { "op" };
    TableExchange tables;
};

class TableExchangeTest : public testing::Test
{
protected:
    /// Reports in both directions, after which each knows the version of the other one.
    void introduce(Instance &one, Instance &other, SteadyTime now)
    {
        other.receive(one.reportTo(other, now), now);
        one.receive(other.reportTo(one, now), now);
    }
    /// Sends one request of the receiver. Returns whether there was one.
    bool fetchPart(Instance &receiver, Instance &holder, SteadyTime now)
    {
        const auto requests = receiver.tables.dueRequests(now);
        if (requests.empty())
            return false;
        EXPECT_EQ(requests.front().peer, holder.name);
        const auto answer = holder.tables.answer(receiver.tables.messageOf(requests.front()), now);
        m_fetchedBytes += answer.part().size();
        const auto changes = receiver.tables.answered("op", answer, now);
        EXPECT_TRUE(changes);
        if (changes && *changes)
            m_rows = receiver.copy.advanceFromPeer(**changes).value_or(m_rows);
        return true;
    }

    Instance m_hub { "hub" };
    Instance m_member { "member" };
    std::size_t m_fetchedBytes = 0;
    std::vector<platform::StoredRow> m_rows;
};

TEST_F(TableExchangeTest, SmallChangesTravelInTheReport)
{
    introduce(m_hub, m_member, Start);
    m_hub.copy.advance({ row(11, "small") }, 11, true, Start);
    const auto rows = m_member.receive(m_hub.reportTo(m_member, Start), Start);
    ASSERT_EQ(rows.size(), 1U);
    EXPECT_EQ(rows.front().value, "small");
    EXPECT_TRUE(m_member.tables.dueRequests(Start).empty());
}

// Guards against reports that are lost, with the list of servers and all loads in them, because a
// row of hundreds of kB makes them too large for a small link.
TEST_F(TableExchangeTest, LargeChangesAreFetchedPartByPart)
{
    introduce(m_hub, m_member, Start);
    m_hub.copy.advance({ row(11, largeText(1)) }, 11, true, Start);
    const v1::LoadReport report = m_hub.reportTo(m_member, Start);
    EXPECT_LE(report.ByteSizeLong(), MaxReportSize);
    EXPECT_TRUE(m_member.receive(report, Start).empty());
    int parts = 0;
    while (fetchPart(m_member, m_hub, Start))
        ++parts;
    EXPECT_GT(parts, 3);
    ASSERT_EQ(m_rows.size(), 1U);
    EXPECT_EQ(m_rows.front().value, largeText(1));
    EXPECT_EQ(m_member.copy.version(), 11);
}

// A lost part costs no more than itself.
TEST_F(TableExchangeTest, ALostPartIsRequestedAgain)
{
    introduce(m_hub, m_member, Start);
    m_hub.copy.advance({ row(11, largeText(1)) }, 11, true, Start);
    m_member.receive(m_hub.reportTo(m_member, Start), Start);
    ASSERT_TRUE(fetchPart(m_member, m_hub, Start));
    const std::size_t first = m_fetchedBytes;
    ASSERT_EQ(m_member.tables.dueRequests(Start).size(), 1U);
    EXPECT_TRUE(m_member.tables.dueRequests(Start).empty());
    m_member.tables.failed("op", Start);
    EXPECT_TRUE(m_member.tables.dueRequests(Start).empty());
    while (fetchPart(m_member, m_hub, Start + 200ms)) { }
    ASSERT_EQ(m_rows.size(), 1U);
    EXPECT_EQ(m_rows.front().value, largeText(1));
    EXPECT_LT(m_fetchedBytes, largeText(1).size());
    EXPECT_GT(m_fetchedBytes, first);
}

// The configuration changes while it is fetched. What has been fetched stays useful, and the later
// change comes as a difference.
TEST_F(TableExchangeTest, ALaterChangeDoesNotBreakATransfer)
{
    introduce(m_hub, m_member, Start);
    m_hub.copy.advance({ row(11, largeText(1)) }, 11, true, Start);
    m_member.receive(m_hub.reportTo(m_member, Start), Start);
    ASSERT_TRUE(fetchPart(m_member, m_hub, Start));
    m_hub.copy.advance({ row(12, largeText(1) + "more") }, 12, true, Start);
    while (m_member.copy.version() < 11)
        ASSERT_TRUE(fetchPart(m_member, m_hub, Start));
    introduce(m_hub, m_member, Start);
    const auto rows = m_member.receive(m_hub.reportTo(m_member, Start), Start);
    ASSERT_EQ(rows.size(), 1U);
    EXPECT_EQ(rows.front().value, largeText(1) + "more");
}

// Guards against a link that is full for seconds: all members fetch at once from a hub. It serves a
// few, and names those that have the changes to the others.
TEST_F(TableExchangeTest, ABusyHubNamesOtherHolders)
{
    Instance holder("holder");
    m_hub.copy.advance({ row(11, largeText(1)) }, 11, true, Start);
    holder.copy.advance({ row(11, largeText(1)) }, 11, true, Start);
    introduce(m_hub, holder, Start);
    std::vector<Instance> members;
    members.reserve(4);
    for (const char *name : { "m1", "m2", "m3", "m4" }) {
        Instance &member = members.emplace_back(name);
        introduce(m_hub, member, Start);
        member.receive(m_hub.reportTo(member, Start), Start);
    }
    for (std::size_t i = 0; i < 3; ++i)
        ASSERT_TRUE(fetchPart(members[i], m_hub, Start));
    EXPECT_GT(m_fetchedBytes, 0U);
    m_fetchedBytes = 0;
    ASSERT_TRUE(fetchPart(members[3], m_hub, Start));
    EXPECT_EQ(m_fetchedBytes, 0U);
    const auto requests = members[3].tables.dueRequests(Start);
    ASSERT_EQ(requests.size(), 1U);
    EXPECT_EQ(requests.front().peer, "holder");
    const auto answer = holder.tables.answer(members[3].tables.messageOf(requests.front()), Start);
    EXPECT_EQ(answer.status(), v1::ChangesAnswer::PART);
}

// Guards against instances that never get a change, because they have another value of the row than
// the difference is made for.
TEST_F(TableExchangeTest, WholeRowsAreFetchedAfterADifferenceWasRejected)
{
    const std::string first = largeText(1);
    for (Instance *instance : { &m_hub, &m_member })
        instance->copy.advance({ row(11, first) }, 11, true, Start);
    m_member.copy.advance({ row(12, first + "skipped") }, 12, true, Start);
    m_hub.receive(m_member.reportTo(m_hub, Start), Start);
    m_hub.copy.advance({ row(13, first + "last") }, 13, true, Start);
    EXPECT_TRUE(m_member.receive(m_hub.reportTo(m_member, Start), Start).empty());
    m_member.tables.rejected("op", "hub", 13, Start);
    while (fetchPart(m_member, m_hub, Start)) { }
    ASSERT_EQ(m_rows.size(), 1U);
    EXPECT_EQ(m_rows.front().value, first + "last");
}

// During a rolling update, instances of the earlier version understand plain rows only.
TEST_F(TableExchangeTest, EarlierVersionsGetPlainRows)
{
    v1::LoadReport old = m_member.reportTo(m_hub, Start);
    old.set_takes_changes(false);
    m_hub.receive(old, Start);
    m_hub.copy.advance({ row(11, "small") }, 11, true, Start);
    const v1::LoadReport report = m_hub.reportTo(m_member, Start);
    ASSERT_EQ(report.tables_size(), 1);
    EXPECT_TRUE(report.tables(0).changes().empty());
    ASSERT_EQ(report.tables(0).rows_size(), 1);
    EXPECT_EQ(report.tables(0).rows(0).value(), "small");
    const auto rows = m_member.receive(report, Start);
    ASSERT_EQ(rows.size(), 1U);
    m_hub.copy.advance({ row(12, largeText(1)) }, 12, true, Start);
    const v1::LoadReport without = m_hub.reportTo(m_member, Start);
    EXPECT_EQ(without.tables(0).rows_from(), 0);
    EXPECT_LE(without.ByteSizeLong(), MaxReportSize);
}

// Each data centre reads the store itself, so changes cross over only if its reader is late.
TEST_F(TableExchangeTest, OtherDataCentresGetChangesIfTheirCopyIsOld)
{
    Instance far("far", "west");
    introduce(m_hub, far, Start);
    m_hub.copy.advance({ row(11, "small") }, 11, true, Start);
    EXPECT_TRUE(far.receive(m_hub.reportTo(far, Start), Start).empty());
    m_hub.receive(far.reportTo(m_hub, Start + 1s), Start + 1s);
    EXPECT_EQ(far.receive(m_hub.reportTo(far, Start + 1s), Start + 1s).size(), 1U);
}

} // namespace
} // namespace snipestall::gateway
