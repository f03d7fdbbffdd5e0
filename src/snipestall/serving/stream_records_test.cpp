#include "snipestall/serving/stream_records.hpp"

#include <gtest/gtest.h>

namespace snipestall::serving {
namespace {

using namespace std::chrono_literals;

const SteadyTime Start { 100s };
constexpr std::uint64_t FirstNumber = 1000;
const StreamOrigin V1 { "lm", "v1" };
const StreamOrigin V2 { "lm", "v2" };

class StreamRecordsTest : public testing::Test
{
protected:
    [[nodiscard]] std::optional<StreamOrigin> originOf(std::uint64_t key, SteadyTime now) const
    {
        const auto known = m_records.find(key, now);
        return known ? known->origin : std::nullopt;
    }

    StreamRecords m_records { FirstNumber };
};

TEST_F(StreamRecordsTest, KeepsARecordForAsLongAsItsCallerMayTakeItUp)
{
    m_records.add({ 1, V1, 15s }, Start);
    EXPECT_EQ(originOf(1, Start + 14s), V1);
    EXPECT_FALSE(m_records.find(1, Start + 15s));
    m_records.add({ 2, V1, 24h }, Start);
    EXPECT_FALSE(m_records.find(2, Start + StreamRecords::MaxKept));
}

// Guards against a stream of two versions whose caller has used one id for two streams.
TEST_F(StreamRecordsTest, TwoOriginsOfOneAttemptAreNone)
{
    m_records.add({ 1, V1, 15s }, Start);
    m_records.addHeard({ 1, V2, 15s }, Start + 1s);
    const auto known = m_records.find(1, Start + 2s);
    ASSERT_TRUE(known);
    EXPECT_FALSE(known->origin);
    EXPECT_EQ(known->age, 2s);
}

// Guards against a stream of two versions by what different instances have stored, and against
// records that the store and an instance pass on in turns.
TEST_F(StreamRecordsTest, StoredRecordsAreNeitherPassedOnNorPreferred)
{
    m_records.addStored({ 1, V1, 15s }, Start);
    EXPECT_TRUE(m_records.find(1, Start)->fromStore);
    EXPECT_EQ(originOf(1, Start), V1);
    EXPECT_TRUE(m_records.since(0, Start).records.empty());
    m_records.addStored({ 1, V2, 15s }, Start);
    EXPECT_FALSE(originOf(1, Start));
    m_records.addStored({ 2, V1, 15s }, Start);
    m_records.add({ 2, V1, 15s }, Start);
    EXPECT_FALSE(m_records.find(2, Start)->fromStore);
    EXPECT_EQ(m_records.since(0, Start).records.size(), 1U);
    m_records.addStored({ 2, V2, 15s }, Start);
    EXPECT_FALSE(originOf(2, Start));
}

TEST_F(StreamRecordsTest, KeysOfCustomersDiffer)
{
    EXPECT_NE(StreamRecords::keyOf("harbour", "a"), StreamRecords::keyOf("dock", "a"));
    EXPECT_NE(StreamRecords::keyOf("a", "bc"), StreamRecords::keyOf("ab", "c"));
}

TEST_F(StreamRecordsTest, PassesOnWhatTheReceiverLacks)
{
    m_records.add({ 1, V1, 15s }, Start);
    m_records.addHeard({ 2, V2, 15s }, Start);
    const auto all = m_records.since(0, Start);
    ASSERT_EQ(all.records.size(), 1U);
    EXPECT_EQ(all.records[0].key, 1U);
    EXPECT_TRUE(m_records.since(all.next, Start).records.empty());
    m_records.add({ 3, V1, 15s }, Start);
    const auto rest = m_records.since(all.next, Start);
    ASSERT_EQ(rest.records.size(), 1U);
    EXPECT_EQ(rest.records[0].key, 3U);
    // The number is that of another process.
    EXPECT_EQ(m_records.since(FirstNumber + 50, Start).records.size(), 2U);
}

// Guards against the loss of a stream that goes on at a second instance: the first one has ended,
// and an instance that starts later hears of it from nobody.
TEST_F(StreamRecordsTest, AHeardStreamThatGoesOnHereIsPassedOn)
{
    m_records.addHeard({ 1, V1, 15s }, Start);
    EXPECT_TRUE(m_records.since(0, Start).records.empty());
    m_records.add({ 1, V1, 15s }, Start);
    m_records.add({ 1, V1, 15s }, Start);
    EXPECT_EQ(m_records.since(0, Start).records.size(), 1U);
}

TEST_F(StreamRecordsTest, ExpiredRecordsAreDropped)
{
    for (std::uint64_t key = 1; key <= 100; ++key)
        m_records.add({ key, V1, 5s }, Start);
    const std::uint64_t next = m_records.since(0, Start).next;
    m_records.add({ 200, V1, 5s }, Start + 10s);
    EXPECT_EQ(m_records.size(), 1U);
    EXPECT_EQ(m_records.since(next, Start + 10s).records.size(), 1U);
    EXPECT_EQ(m_records.since(0, Start + 10s).records.size(), 1U);
}

// Guards against reports that are too large to arrive in time.
TEST_F(StreamRecordsTest, ABatchIsBounded)
{
    constexpr std::uint64_t Records = 5000;
    for (std::uint64_t key = 1; key <= Records; ++key)
        m_records.add({ key, V1, 15s }, Start);
    std::uint64_t next = 0;
    std::uint64_t got = 0;
    while (got < Records) {
        const auto batch = m_records.since(next, Start);
        ASSERT_FALSE(batch.records.empty());
        EXPECT_LE(batch.records.size(), 2000U);
        got += batch.records.size();
        next = batch.next;
    }
    EXPECT_EQ(got, Records);
}

} // namespace
} // namespace snipestall::serving
