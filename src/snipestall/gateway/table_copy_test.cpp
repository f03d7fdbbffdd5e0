#include "snipestall/gateway/table_copy.hpp"

#include "test_text.hpp"

#include "snipestall/base/random.hpp"

#include <gtest/gtest.h>

namespace snipestall::gateway {
namespace {

using namespace std::chrono_literals;

const SteadyTime Start { 100s };
constexpr std::uint64_t Seed = 20261204;

platform::StoredRow row(const std::string &key, std::int64_t version)
{
    return { { "servers", "", key }, "v", version, false };
}

RowChange change(const std::string &key, std::int64_t version)
{
    return { key, version, false, std::nullopt, "v" };
}

class TableCopyTest : public testing::Test
{
protected:
    TableCopyTest()
    {
        for (TableCopy *copy : { &m_reader, &m_other }) {
            copy->beginRead(Start);
            copy->readWhole({}, 10);
        }
    }

    TableCopy m_reader { "servers" };
    TableCopy m_other { "servers" };
};

// Failure: hundreds of servers are replaced at once, and a copy that has read the first part of the
// changes counts as current, here and at the peers with the same part, while the notice of a
// leaving server is behind it.
TEST_F(TableCopyTest, AnAnswerThatWasCutShortDoesNotConfirmTheCopy)
{
    m_reader.advance({ row("a", 12) }, 12, false, Start + 3s);
    EXPECT_EQ(m_reader.version(), 12);
    EXPECT_EQ(m_reader.age(Start + 3s), 3s);
    m_reader.advance({ row("b", 15) }, 15, true, Start + 4s);
    EXPECT_EQ(m_reader.age(Start + 4s), 0s);
}

TEST_F(TableCopyTest, PassesOnChangesThatAnotherCopyLacks)
{
    m_reader.advance({ row("a", 12), row("b", 15) }, 17, true, Start + 1s);
    const auto changes = m_reader.since(m_other.version());
    ASSERT_TRUE(changes);
    EXPECT_EQ(changes->rows.size(), 2U);
    EXPECT_TRUE(m_other.advanceFromPeer(*changes));
    EXPECT_EQ(m_other.version(), 17);
    EXPECT_FALSE(m_other.advanceFromPeer(*changes));
    EXPECT_FALSE(m_reader.since(17));
}

// Guards against new work for a server that has left: the instance missed the change of its entry,
// because it took later changes from a peer that no longer had the earlier one.
TEST_F(TableCopyTest, RefusesChangesThatLeaveAGap)
{
    EXPECT_FALSE(m_other.advanceFromPeer({ 11, 20, { change("a", 15) } }));
    EXPECT_EQ(m_other.version(), 10);
}

TEST_F(TableCopyTest, DoesNotPassOnChangesThatItHasDropped)
{
    for (std::int64_t version = 11; version < 1000; ++version)
        m_reader.advance({ row("a", version) }, version, true, Start);
    EXPECT_FALSE(m_reader.since(10));
    EXPECT_TRUE(m_reader.since(900));
    EXPECT_FALSE(m_reader.since(5));
}

// Guards against work for servers that have left: an instance on a slow connection treated the
// pages of a long read as the current state and requested no changes for seconds afterwards.
TEST_F(TableCopyTest, AgeCountsFromTheBeginningOfTheRead)
{
    TableCopy copy("servers");
    copy.beginRead(Start);
    copy.readWhole({}, 10);
    EXPECT_EQ(copy.age(Start + 3s), 3s);
    m_reader.beginRead(Start + 1s);
    m_reader.advance({}, 12, true, Start + 2s);
    m_reader.readWhole({}, 20);
    EXPECT_EQ(m_reader.age(Start + 3s), 1s);
}

TEST_F(TableCopyTest, TakesOverTheAgeOfAFresherCopyOfTheSameVersion)
{
    EXPECT_EQ(m_other.age(Start + 2s), 2s);
    m_other.confirm(10, 300ms, Start + 2s);
    EXPECT_EQ(m_other.age(Start + 2s), 300ms);
    m_other.confirm(9, 0ms, Start + 3s);
    m_other.confirm(11, 0ms, Start + 3s);
    EXPECT_EQ(m_other.age(Start + 3s), 1300ms);
}

// Guards against a new configuration that takes seconds to reach most instances: the store dropped
// its history, the readers read the whole table, and could no longer tell which changes the others
// lacked.
TEST_F(TableCopyTest, PassesOnChangesFoundByAWholeRead)
{
    platform::StoredRow gone = row("old", 30);
    gone.removed = true;
    m_reader.beginRead(Start + 1s);
    m_reader.readWhole({ row("kept", 5), row("new", 25), gone }, 30);
    const auto changes = m_reader.since(10);
    ASSERT_TRUE(changes);
    ASSERT_EQ(changes->rows.size(), 2U);
    EXPECT_EQ(changes->rows[0].key, "new");
    EXPECT_TRUE(changes->rows[1].removed);
    EXPECT_TRUE(m_other.advanceFromPeer(*changes));
}

TEST_F(TableCopyTest, ACopyThatWasNeverReadAcceptsNoChangesFromPeers)
{
    TableCopy empty("servers");
    EXPECT_FALSE(empty.advanceFromPeer({ 0, 20, { change("a", 15) } }));
    EXPECT_EQ(empty.age(Start), std::chrono::milliseconds::max());
}

platform::StoredRow largeRow(std::int64_t version, std::string value)
{
    return { { "servers", "", "large" }, std::move(value), version, false };
}

std::size_t bytesOf(const TableChanges &changes)
{
    std::size_t bytes = 0;
    for (const RowChange &row : changes.rows)
        bytes += row.value.size();
    return bytes;
}

// Guards against reports of several times the size of a row: a copy that was four versions behind
// got all four values, although it needs the last one.
TEST_F(TableCopyTest, PassesOnTheLastValueOfARowOnly)
{
    for (std::int64_t version = 11; version < 19; version += 2)
        m_reader.advance({ row("a", version), row("b", version + 1) }, version + 1, true, Start);
    const auto changes = m_reader.since(10);
    ASSERT_TRUE(changes);
    ASSERT_EQ(changes->rows.size(), 2U);
    EXPECT_EQ(changes->rows[0].version, 17);
    EXPECT_EQ(changes->rows[1].version, 18);
}

// Guards against full links after each change of one route in a large configuration.
TEST_F(TableCopyTest, PassesOnWhatHasChangedInALargeRow)
{
    std::string value = largeText(1);
    m_reader.advance({ largeRow(11, value) }, 11, true, Start);
    ASSERT_TRUE(m_other.advanceFromPeer(*m_reader.since(10)));
    for (std::int64_t version = 12; version < 16; ++version) {
        value.insert(1000 * static_cast<std::size_t>(version), "another route");
        m_reader.advance({ largeRow(version, value) }, version, true, Start);
    }
    const auto changes = m_reader.since(11);
    ASSERT_TRUE(changes);
    EXPECT_LT(bytesOf(*changes), 2000U);
    const auto rows = m_other.advanceFromPeer(*changes);
    ASSERT_TRUE(rows) << rows.error().message;
    ASSERT_EQ(rows->size(), 1U);
    EXPECT_EQ(rows->front().value, value);
    EXPECT_EQ(rows->front().version, 15);
}

// Guards against a configuration that is put together from two versions: one copy has read a
// version that the other one has skipped.
TEST_F(TableCopyTest, RefusesADifferenceToAnotherValueAndTakesTheWholeRow)
{
    const std::string first = largeText(1);
    m_reader.advance({ largeRow(11, first) }, 11, true, Start);
    m_other.advance({ largeRow(11, first) }, 11, true, Start);
    m_other.advance({ largeRow(12, first + "skipped") }, 12, true, Start);
    m_reader.advance({ largeRow(13, first + "last") }, 13, true, Start);
    const auto refused = m_other.advanceFromPeer(*m_reader.since(12));
    ASSERT_FALSE(refused);
    EXPECT_EQ(refused.error().kind, ErrorKind::InvalidArgument);
    EXPECT_EQ(m_other.version(), 12);
    const auto rows = m_other.advanceFromPeer(*m_reader.wholeSince(12));
    ASSERT_TRUE(rows) << rows.error().message;
    EXPECT_EQ(rows->front().value, first + "last");
    EXPECT_EQ(m_other.version(), 13);
}

TEST_F(TableCopyTest, PassesOnThatALargeRowBecomesSmallOrIsRemoved)
{
    m_reader.advance({ largeRow(11, largeText(1)) }, 11, true, Start);
    ASSERT_TRUE(m_other.advanceFromPeer(*m_reader.since(10)));
    m_reader.advance({ largeRow(12, "small") }, 12, true, Start);
    auto rows = m_other.advanceFromPeer(*m_reader.since(11));
    ASSERT_TRUE(rows);
    EXPECT_EQ(rows->front().value, "small");
    platform::StoredRow gone = largeRow(14, "");
    gone.removed = true;
    m_reader.advance({ largeRow(13, largeText(2)), gone }, 14, true, Start);
    rows = m_other.advanceFromPeer(*m_reader.since(12));
    ASSERT_TRUE(rows);
    EXPECT_TRUE(rows->front().removed);
    m_reader.advance({ largeRow(15, largeText(3)) }, 15, true, Start);
    rows = m_other.advanceFromPeer(*m_reader.since(14));
    ASSERT_TRUE(rows);
    EXPECT_EQ(rows->front().value, largeText(3));
}

// Guards against a process that is killed for its memory: a large row that changes often was kept
// in hundreds of versions.
TEST_F(TableCopyTest, KeepsFewChangesOfLargeRows)
{
    constexpr std::int64_t Changes = 40;
    for (std::int64_t version = 11; version < 11 + Changes; ++version)
        m_reader.advance({ largeRow(version, largeText(static_cast<std::uint64_t>(version))) },
                         version, true, Start);
    EXPECT_FALSE(m_reader.since(11));
    EXPECT_TRUE(m_reader.since(11 + Changes - 2));
}

// Changes arrive damaged, in parts or from a faulty peer. None of them may be applied in part.
TEST_F(TableCopyTest, DamagedChangesAreErrors)
{
    m_reader.advance({ largeRow(11, largeText(1)), row("a", 12) }, 12, true, Start);
    const std::string encoded = encodeChanges(*m_reader.since(10));
    Random random(Seed);
    for (int i = 0; i < 300; ++i) {
        std::string damaged = encoded;
        damaged[random.below(damaged.size())] ^= static_cast<char>(1 + random.below(255));
        if (i % 3 == 0)
            damaged.resize(random.below(damaged.size()));
        const auto changes = decodeChanges(damaged);
        if (changes && m_other.advanceFromPeer(*changes)) {
            ADD_FAILURE() << "damaged changes were applied";
            return;
        }
    }
    EXPECT_EQ(m_other.version(), 10);
}

} // namespace
} // namespace snipestall::gateway
