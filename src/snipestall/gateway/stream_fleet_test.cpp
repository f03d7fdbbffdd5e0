// A model of how instances pass on which version began a stream, in simulated time and without
// sockets.

#include "stream_fleet_model.hpp"

#include <gtest/gtest.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace snipestall::gateway {
namespace {

using namespace std::chrono_literals;
using std::chrono::milliseconds;

constexpr int DataCentres = StreamFleet::DataCentres;
constexpr std::size_t LargeFleet = 300;
constexpr int MinTakenUp = 15;

enum class Fault {
    KillOne,
    KillMost,
    KillAll,
    /// Each process is killed in turn while the streams of the one before are taken up.
    KillInTurn,
    /// A data centre loses its path to the others, and the processes of another one are killed.
    CutOneKillOther,
};

struct FleetCase
{
    const char *name;
    std::size_t instances;
    Fault fault;
    /// Part of the broken streams whose origin has to be known, of those that began this long
    /// before.
    double minKnown;
    milliseconds countedFrom { 0 };
};

std::string nameOf(const testing::TestParamInfo<FleetCase> &info)
{
    return std::to_string(info.param.instances) + info.param.name;
}

std::vector<std::size_t> chosen(std::size_t count, const std::function<bool(std::size_t)> &wanted)
{
    std::vector<std::size_t> indices;
    for (std::size_t i = 0; i < count; ++i) {
        if (wanted(i))
            indices.push_back(i);
    }
    return indices;
}

void disturb(StreamFleet &fleet, Fault fault, Random &random)
{
    const std::size_t size = fleet.size();
    switch (fault) {
    case Fault::KillOne:
        fleet.kill({ random.below(size) });
        break;
    case Fault::KillMost:
        fleet.kill(chosen(size, [&random](std::size_t) { return random.uniform() < 0.6; }));
        break;
    case Fault::KillAll:
        fleet.kill(chosen(size, [](std::size_t) { return true; }));
        break;
    case Fault::KillInTurn:
        for (std::size_t i = 0; i < size; ++i) {
            fleet.kill({ i });
            fleet.run(milliseconds(12000 / size));
        }
        break;
    case Fault::CutOneKillOther:
        fleet.cut(0);
        fleet.run(1000ms);
        fleet.kill(chosen(size, [](std::size_t i) { return i % DataCentres == 1; }));
        break;
    }
}

class StreamFleetTest : public testing::TestWithParam<FleetCase>
{ };

// Guards against streams that go on at another version, and against those that could go on and are
// lost, since the instance that began them has ended.
TEST_P(StreamFleetTest, OriginsSurviveTheirInstances)
{
    const FleetCase &given = GetParam();
    const std::uint64_t seeds = given.instances < LargeFleet ? 3 : 1;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        StreamFleet fleet(given.instances, seed);
        Random random(seed);
        fleet.countFrom(given.countedFrom);
        fleet.run(6000ms);
        disturb(fleet, given.fault, random);
        fleet.run(3000ms);
        EXPECT_EQ(fleet.wrong(), 0);
        EXPECT_GE(fleet.known(), given.minKnown) << "seed " << seed;
        EXPECT_GT(fleet.takenUp(), MinTakenUp);
        RecordProperty("known", std::to_string(fleet.known()));
        RecordProperty("queries_per_stream", std::to_string(fleet.queriesPerStream()));
        RecordProperty("bytes_per_stream", std::to_string(fleet.bytesPerStream()));
        RecordProperty("most_records", std::to_string(fleet.mostRecords()));
    }
}

/// Parts of the broken streams that have to go on.
constexpr double OneKilled = 0.95;
constexpr double MostKilled = 0.9;

INSTANTIATE_TEST_SUITE_P(
    Fleets, StreamFleetTest,
    testing::Values(FleetCase { "KillOne", 9, Fault::KillOne, OneKilled, 1s },
                    FleetCase { "KillMost", 9, Fault::KillMost, MostKilled },
                    FleetCase { "KillAll", 9, Fault::KillAll, 0 },
                    FleetCase { "KillInTurn", 9, Fault::KillInTurn, OneKilled, 1s },
                    FleetCase { "CutOneKillOther", 9, Fault::CutOneKillOther, 0 },
                    FleetCase { "KillOne", 60, Fault::KillOne, OneKilled, 1s },
                    FleetCase { "KillMost", 60, Fault::KillMost, MostKilled },
                    FleetCase { "KillAll", 60, Fault::KillAll, 0 },
                    FleetCase { "KillInTurn", 60, Fault::KillInTurn, OneKilled, 1s },
                    FleetCase { "CutOneKillOther", 60, Fault::CutOneKillOther, 0 },
                    FleetCase { "KillOne", 300, Fault::KillOne, OneKilled, 1s },
                    FleetCase { "KillMost", 300, Fault::KillMost, MostKilled },
                    FleetCase { "KillAll", 300, Fault::KillAll, 0 },
                    FleetCase { "KillInTurn", 300, Fault::KillInTurn, OneKilled, 1s },
                    FleetCase { "CutOneKillOther", 300, Fault::CutOneKillOther, 0 }),
    nameOf);

} // namespace
} // namespace snipestall::gateway
