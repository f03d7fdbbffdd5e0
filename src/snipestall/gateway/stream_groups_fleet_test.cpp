// A model of streams that are taken up after all instances were killed, in simulated time and
// without sockets.

#include "stream_fleet_model.hpp"

#include <gtest/gtest.h>

#include <chrono>
#include <cstdint>
#include <iostream>
#include <numeric>
#include <string>
#include <vector>

namespace snipestall::gateway {
namespace {

using namespace std::chrono_literals;
using std::chrono::milliseconds;

/// Part of the streams that has to go on after a kill of all instances.
constexpr double MinKnown = 0.9;
/// All of up to so many instances write, and as many of larger fleets.
constexpr std::size_t MaxWriters = 12;
/// Bounds for the whole fleet. The store takes 400 writes a second in the smallest deployment, and
/// 300 in one part.
constexpr double MaxWritesPerSecond = 120;
constexpr std::size_t MaxRowBytes = 65536;

struct GroupsCase
{
    const char *name;
    std::size_t instances;
    milliseconds shortest;
    milliseconds longest;
    int kills;
    /// The store is away for so long, until some seconds before the kill.
    milliseconds away { 0 };
    std::uint64_t seeds = 3;
};

std::string nameOf(const testing::TestParamInfo<GroupsCase> &info)
{
    return std::to_string(info.param.instances) + info.param.name;
}

class StreamGroupsFleetTest : public testing::TestWithParam<GroupsCase>
{ };

// Guards against the refusal of the streams that are taken up after a kill of all instances,
// against those that go on at another version, and against a load on the store that grows with the
// fleet.
TEST_P(StreamGroupsFleetTest, StreamsSurviveAKillOfAll)
{
    const GroupsCase &given = GetParam();
    for (std::uint64_t seed = 1; seed <= given.seeds; ++seed) {
        StreamFleet fleet(given.instances, seed, { given.shortest, given.longest, true });
        fleet.run(4000ms);
        fleet.store().resetCounts();
        constexpr milliseconds Steady { 4000 };
        fleet.run(Steady);
        const double seconds = std::chrono::duration<double>(Steady).count();
        const double writes = double(fleet.store().writes()) / seconds;
        const double written = double(fleet.store().bytesWritten()) / seconds;
        EXPECT_LE(writes, MaxWritesPerSecond);
        EXPECT_LE(fleet.holders(), MaxWriters);
        if (given.away > 0ms) {
            fleet.store().setAway(true);
            fleet.run(given.away);
            fleet.store().setAway(false);
            fleet.run(4000ms);
        }
        std::vector<std::size_t> all(given.instances);
        std::iota(all.begin(), all.end(), 0U);
        fleet.store().resetCounts();
        for (int i = 0; i < given.kills; ++i) {
            fleet.kill(all);
            fleet.run(3500ms);
        }
        EXPECT_EQ(fleet.wrong(), 0);
        EXPECT_GE(fleet.known(), MinKnown) << "seed " << seed;
        EXPECT_GT(fleet.takenUp(), static_cast<int>(given.instances));
        EXPECT_LT(fleet.store().largestRow(), MaxRowBytes);
        EXPECT_LE(fleet.store().rows(), MaxWriters * serving::StreamGroups::Slots);
        // Only those that write read, a few times after each kill.
        EXPECT_LE(fleet.store().reads(), static_cast<std::size_t>(given.kills) * MaxWriters * 8);
        std::cout << given.instances << " instances, " << given.name << ", seed " << seed
                  << ": known " << fleet.known() << " of " << fleet.takenUp() << ", writes/s "
                  << writes << ", KB written/s " << written / 1000 << ", reads after the kills "
                  << fleet.store().reads() << ", KB read " << fleet.store().bytesRead() / 1000
                  << ", rows " << fleet.store().rows() << ", largest " << fleet.store().largestRow()
                  << ", queries a stream " << fleet.queriesPerStream() << "\n";
    }
}

INSTANTIATE_TEST_SUITE_P(
    Fleets, StreamGroupsFleetTest,
    testing::Values(GroupsCase { "Streams", 9, 1500ms, 6000ms, 1 },
                    GroupsCase { "ShortStreams", 9, 1500ms, 1500ms, 1 },
                    GroupsCase { "KilledTwice", 9, 3000ms, 6000ms, 2 },
                    GroupsCase { "StoreAwayBefore", 9, 3000ms, 6000ms, 1, 2000ms },
                    GroupsCase { "Streams", 60, 1500ms, 6000ms, 1 },
                    GroupsCase { "KilledTwice", 60, 3000ms, 6000ms, 2 },
                    GroupsCase { "StoreAwayBefore", 60, 3000ms, 6000ms, 1, 2000ms },
                    GroupsCase { "Streams", 300, 1500ms, 6000ms, 1 },
                    GroupsCase { "KilledTwice", 300, 3000ms, 6000ms, 2, 0ms, 1 }),
    nameOf);

} // namespace
} // namespace snipestall::gateway
