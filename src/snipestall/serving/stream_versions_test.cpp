#include "snipestall/serving/stream_versions.hpp"

#include "snipestall/base/random.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <map>
#include <string>

namespace snipestall::serving {
namespace {

using namespace std::chrono_literals;
using std::chrono::milliseconds;

const SteadyTime Start { 100s };
const StreamOrigin V1 { "lm", "v1" };
const StreamOrigin V2 { "lm", "v2" };
constexpr milliseconds StoreNow { 5000000 };

class StreamVersionsTest : public testing::Test
{
protected:
    void read(const std::vector<RegisteredVersion> &row, SteadyTime at)
    {
        m_versions.read(row, at, at);
    }

    StreamVersions m_versions;
};

TEST_F(StreamVersionsTest, AVersionIsUsedOnlyOnceEveryReadCanShowIt)
{
    EXPECT_FALSE(m_versions.known());
    read({ { V1, true, {} }, { V2, false, {} } }, Start);
    EXPECT_TRUE(m_versions.mayBegin(V1, Start));
    EXPECT_FALSE(m_versions.mayBegin(V2, Start + 999ms));
    EXPECT_TRUE(m_versions.mayBegin(V2, Start + 1s));
    EXPECT_FALSE(m_versions.mayBegin({ "lm", "v3" }, Start + 1s));
}

TEST_F(StreamVersionsTest, TheOnlyVersionIsCertainForAsLongAsANewOneWaits)
{
    EXPECT_FALSE(m_versions.onlyOrigin(Start));
    read({ { V1, true, {} } }, Start);
    EXPECT_EQ(m_versions.onlyOrigin(Start + 900ms), V1);
    EXPECT_FALSE(m_versions.onlyOrigin(Start + 901ms));
    EXPECT_TRUE(m_versions.mayBeOnlyOne());
    read({ { V1, true, {} }, { V2, false, {} } }, Start + 1s);
    EXPECT_FALSE(m_versions.onlyOrigin(Start + 1s));
}

TEST_F(StreamVersionsTest, ASlowReadDoesNotReplaceALaterOne)
{
    m_versions.read({ { V1, true, {} }, { V2, true, {} } }, Start + 1s, Start + 2s);
    m_versions.read({ { V1, true, {} } }, Start, Start + 3s);
    EXPECT_TRUE(m_versions.mayBegin(V2, Start + 3s));
}

TEST_F(StreamVersionsTest, ListedVersionsAreRegisteredAndSettledLater)
{
    read({}, Start);
    EXPECT_TRUE(m_versions.mustRegister({ V1, V2 }));
    const auto first = m_versions.updated({ V1, V2 }, Start);
    ASSERT_EQ(first.size(), 2U);
    EXPECT_TRUE(first[0].settled);
    EXPECT_FALSE(first[1].settled);
    read(first, Start);
    EXPECT_FALSE(m_versions.mustRegister({ V1, V2 }));
    EXPECT_EQ(m_versions.updated({ V1, V2 }, Start + 900ms), first);
    EXPECT_TRUE(m_versions.updated({ V1, V2 }, Start + 1s)[1].settled);
}

// Guards against a guess: a version whose servers have left is forgotten while an instance that is
// cut off may still use it.
TEST_F(StreamVersionsTest, AVersionWithoutServersIsRemovedHoursLater)
{
    const std::vector<RegisteredVersion> row { { V1, true, {} }, { V2, true, {} } };
    const auto marked = StreamVersions::maintained(row, { V2 }, StoreNow);
    ASSERT_EQ(marked.size(), 2U);
    EXPECT_EQ(marked[0].unlistedSince, StoreNow);
    EXPECT_EQ(StreamVersions::maintained(marked, { V2 }, StoreNow + 3h).size(), 2U);
    const auto kept = StreamVersions::maintained(marked, { V2 }, StoreNow + 4h);
    ASSERT_EQ(kept.size(), 1U);
    EXPECT_EQ(kept[0].origin, V2);
    read(row, Start);
    EXPECT_TRUE(m_versions.mayBegin(V1, Start + 3h));
    EXPECT_FALSE(m_versions.mayBegin(V1, Start + 3h + 1s));
    // It is listed again, so it is registered again before its servers begin streams.
    read(marked, Start + 3h);
    EXPECT_FALSE(m_versions.mayBegin(V1, Start + 3h));
    EXPECT_TRUE(m_versions.mustRegister({ V1, V2 }));
    read(m_versions.updated({ V1, V2 }, Start + 3h), Start + 3h);
    EXPECT_TRUE(m_versions.mayBegin(V1, Start + 3h));
}

/// Instances that register and use versions through a row of a store, with slow calls, suspensions
/// and restarts.
class VersionsModel
{
public:
    explicit VersionsModel(std::uint64_t seed)
        : m_random(seed)
    { }

    /// Returns the number of times at which an instance took a version for the only one while a
    /// stream of another one ran.
    int guesses()
    {
        for (int step = 0; step < Steps; ++step) {
            m_now += milliseconds(1 + static_cast<std::int64_t>(m_random.below(20)));
            if (m_random.below(400) == 0 && m_listed.size() < m_all.size())
                m_listed.insert(m_all[m_listed.size()]);
            for (Instance &instance : m_instances)
                act(instance);
        }
        return m_guesses;
    }

    [[nodiscard]] int certain() const { return m_certain; }
    [[nodiscard]] int begun() const { return m_begun; }

private:
    static constexpr int Steps = 4000;
    static constexpr std::size_t Instances = 5;
    static constexpr milliseconds StreamLength { 15000 };

    /// A call takes effect at `appliedAt`, and its answer arrives at `answeredAt`.
    struct Call
    {
        SteadyTime begunAt;
        SteadyTime appliedAt;
        SteadyTime answeredAt;
        bool applied = false;
        bool done = false;
        std::optional<std::vector<RegisteredVersion>> written;
        int expectedNumber = 0;
        std::vector<RegisteredVersion> answer;
        int rowNumber = 0;
    };
    struct Instance
    {
        StreamVersions versions;
        int rowNumber = 0;
        std::optional<Call> call;
        SteadyTime suspendedUntil;
    };
    milliseconds latency()
    {
        const bool slow = m_random.below(10) == 0;
        return milliseconds(1 + static_cast<std::int64_t>(m_random.below(slow ? 1200 : 8)));
    }

    void act(Instance &instance)
    {
        // A call that has been sent takes effect whatever its sender does.
        if (instance.call)
            apply(*instance.call);
        if (instance.suspendedUntil > m_now)
            return;
        if (m_random.below(1500) == 0) {
            instance.suspendedUntil = m_now + milliseconds(m_random.below(4000));
            return;
        }
        if (m_random.below(1500) == 0) {
            instance = {};
            return;
        }
        finish(instance);
        serve(instance);
    }

    void apply(Call &call)
    {
        if (call.applied || m_now < call.appliedAt)
            return;
        call.applied = true;
        if (call.written) {
            call.done = call.expectedNumber == m_rowNumber;
            if (call.done) {
                m_row = *call.written;
                ++m_rowNumber;
            }
        }
        call.answer = m_row;
        call.rowNumber = m_rowNumber;
    }

    void finish(Instance &instance)
    {
        if (!instance.call) {
            if (!instance.versions.known() || m_random.below(40) == 0)
                begin(instance, std::nullopt);
            return;
        }
        if (!instance.call->applied || m_now < instance.call->answeredAt)
            return;
        const Call call = *instance.call;
        instance.call.reset();
        if (call.written && !call.done)
            return;
        instance.rowNumber = call.rowNumber;
        instance.versions.read(call.answer, call.begunAt, m_now);
        const auto updated = instance.versions.updated(m_listed, m_now);
        if (!call.written && updated != instance.versions.row())
            begin(instance, updated);
    }

    void begin(Instance &instance, std::optional<std::vector<RegisteredVersion>> written)
    {
        Call call;
        call.begunAt = m_now;
        call.appliedAt = m_now + latency();
        call.answeredAt = call.appliedAt + latency();
        call.written = std::move(written);
        call.expectedNumber = instance.rowNumber;
        instance.call = std::move(call);
    }

    void serve(Instance &instance)
    {
        const StreamOrigin &origin = m_all[m_random.below(m_all.size())];
        if (m_listed.contains(origin) && instance.versions.mayBegin(origin, m_now)) {
            m_runningUntil[origin] = m_now + StreamLength;
            ++m_begun;
        }
        const auto only = instance.versions.onlyOrigin(m_now);
        if (!only)
            return;
        ++m_certain;
        m_guesses += std::ranges::any_of(m_runningUntil, [this, &only](const auto &entry) {
            return entry.second > m_now && entry.first != *only;
        });
    }

    Random m_random;
    SteadyTime m_now = Start;
    std::array<StreamOrigin, 3> m_all { V1, V2, StreamOrigin { "other", "v1" } };
    std::set<StreamOrigin> m_listed { V1 };
    std::vector<RegisteredVersion> m_row;
    int m_rowNumber = 0;
    std::array<Instance, Instances> m_instances;
    /// When the last stream of each version ends.
    std::map<StreamOrigin, SteadyTime> m_runningUntil;
    int m_guesses = 0;
    int m_certain = 0;
    int m_begun = 0;
};

// Guards against a guess: an instance takes a version for the only one, while others have begun
// streams of a version that it has not heard of, in any order of slow calls, suspensions and
// restarts.
TEST(StreamVersionsModelTest, TheOnlyVersionIsNeverAGuess)
{
    int certain = 0;
    int begun = 0;
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        VersionsModel model(seed);
        EXPECT_EQ(model.guesses(), 0) << "seed " << seed;
        certain += model.certain();
        begun += model.begun();
    }
    EXPECT_GT(certain, 1000);
    EXPECT_GT(begun, 100000);
}

} // namespace
} // namespace snipestall::serving
