#include "snipestall/serving/stream_groups.hpp"

#include "snipestall/serving/stream_records.hpp"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace snipestall::serving {
namespace {

using namespace std::chrono_literals;
using std::chrono::milliseconds;

const SteadyTime Start { 100s };
/// The clock of the store at `Start`.
constexpr milliseconds StoreStart { 5000000 };
constexpr milliseconds Interval { 100 };
const StreamOrigin V1 { "lm", "v1" };
const StreamOrigin V2 { "lm", "v2" };

class StreamGroupsTest : public testing::Test
{
protected:
    StreamGroupsTest() { EXPECT_FALSE(next(0ms)); }

    void add(std::uint64_t key, const StreamOrigin &origin, milliseconds at)
    {
        m_records.add({ key, origin, 15s }, Start + at);
    }
    std::optional<StreamGroup> next(milliseconds at)
    {
        return m_groups.next(m_records, Interval, StoreStart + at, Start + at);
    }
    static std::vector<std::uint64_t> keysOf(const std::optional<StreamGroup> &group)
    {
        std::vector<std::uint64_t> keys;
        for (std::size_t i = 0; group && i < group->streams.size(); ++i)
            keys.push_back(group->streams[i].key);
        return keys;
    }
    using Keys = std::vector<std::uint64_t>;

    StreamRecords m_records { 1000 };
    StreamGroups m_groups;
};

TEST_F(StreamGroupsTest, WritesOnlyWhatIsNew)
{
    EXPECT_FALSE(next(1000ms));
    add(1, V1, 1000ms);
    const auto group = next(1100ms);
    ASSERT_TRUE(group);
    EXPECT_EQ(group->streams, (std::vector<StoredStream> { { 1, V1, StoreStart + 16000ms } }));
    m_groups.written();
    EXPECT_FALSE(next(1300ms));
    EXPECT_FALSE(next(5000ms));
}

// Guards against a load on the store that grows with the streams.
TEST_F(StreamGroupsTest, WritesOnceAnInterval)
{
    int writes = 0;
    for (milliseconds at { 1000 }; at < 11000ms; at += 1ms) {
        add(static_cast<std::uint64_t>(at.count()), V1, at);
        if (next(at)) {
            ++writes;
            m_groups.written();
        }
    }
    EXPECT_LE(writes, 10000 / Interval.count());
}

// Guards against rows that grow, and against a row that is replaced before its records expire.
TEST_F(StreamGroupsTest, EachSecondHasARowForAsLongAsItsRecordsAreKept)
{
    add(1, V1, 1000ms);
    const auto first = next(1000ms);
    m_groups.written();
    add(2, V1, 1500ms);
    const auto same = next(1500ms);
    m_groups.written();
    EXPECT_EQ(keysOf(same), (Keys { 1, 2 }));
    EXPECT_EQ(same->slot, first->slot);
    for (milliseconds at { 2000 }; at < 33000ms; at += 1000ms) {
        add(static_cast<std::uint64_t>(at.count()), V1, at);
        const auto other = next(at);
        m_groups.written();
        ASSERT_TRUE(other);
        EXPECT_EQ(other->streams.size(), 1U);
        EXPECT_NE(other->slot, first->slot);
        EXPECT_LT(other->slot, StreamGroups::Slots);
    }
    add(3, V1, 33000ms);
    EXPECT_EQ(next(33000ms)->slot, first->slot);
    m_groups.written();
    m_records.add({ 4, V1, 10min }, Start + 34000ms);
    EXPECT_EQ(next(34000ms)->streams[0].expiresAt, StoreStart + 34000ms + StreamGroups::MaxKept);
}

// Guards against streams that are lost because one write was.
TEST_F(StreamGroupsTest, WritesAgainWhatMayNotBeStored)
{
    add(1, V1, 1000ms);
    ASSERT_TRUE(next(1000ms));
    m_groups.written();
    add(2, V2, 1100ms);
    ASSERT_TRUE(next(1100ms));
    m_groups.writeFailed(Start + 1700ms);
    EXPECT_FALSE(next(1750ms));
    add(3, V1, 2100ms);
    EXPECT_EQ(keysOf(next(2100ms)), (Keys { 2, 3 }));
}

// Guards against calls without end while the store fails.
TEST_F(StreamGroupsTest, WritesLessOftenWhileTheStoreFails)
{
    int writes = 0;
    for (milliseconds at { 1000 }; at < 21000ms; at += 10ms) {
        add(static_cast<std::uint64_t>(at.count()), V1, at);
        if (next(at)) {
            ++writes;
            m_groups.writeFailed(Start + at);
        }
    }
    EXPECT_LE(writes, 15);
    EXPECT_GE(writes, 10);
}

// Guards against the loss of what the process before has written within the second in which this
// one began.
TEST_F(StreamGroupsTest, LeavesTheRowOfTheProcessBefore)
{
    add(1, V1, 10ms);
    EXPECT_FALSE(next(20ms));
    EXPECT_FALSE(next(999ms));
    EXPECT_EQ(keysOf(next(1000ms)), (Keys { 1 }));
}

// Guards against rows that the store refuses, and against the loss of the records that do not fit.
TEST_F(StreamGroupsTest, ARowIsBounded)
{
    for (std::uint64_t key = 1; key <= 9000; ++key)
        add(key, V1, 1000ms);
    std::size_t stored = 0;
    for (milliseconds at { 1000 }; at < 5000ms; at += 1000ms) {
        const auto group = next(at);
        if (!group)
            continue;
        EXPECT_LE(group->streams.size(), StreamGroups::MaxStreams);
        stored += group->streams.size();
        m_groups.written();
    }
    EXPECT_EQ(stored, 9000U);
    for (std::uint64_t key = 10000; key < 10200; ++key)
        add(key, { "lm", std::string(200, 'v') + std::to_string(key) }, 6000ms);
    std::size_t bytes = 0;
    const auto group = next(6000ms);
    ASSERT_TRUE(group);
    for (const StoredStream &each : group->streams)
        bytes += each.origin.version.size();
    EXPECT_LE(bytes, StreamGroups::MaxNameBytes);
}

} // namespace
} // namespace snipestall::serving
