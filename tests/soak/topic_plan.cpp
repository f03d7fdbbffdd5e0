#include "soak/topic_plan.hpp"

#include "snipestall/base/random.hpp"

#include <algorithm>
#include <array>
#include <map>

namespace snipestall::soak {

using std::chrono::milliseconds;

namespace {

using Faults = std::vector<Fault>;

/// The first fault begins at this time, when instances and backend servers have started.
constexpr milliseconds FirstFault { 2000 };
/// Any instant change of the configuration.
constexpr milliseconds ChangeLength { 50 };
constexpr milliseconds ShortestSilence { 1000 };
constexpr milliseconds LongestSilence { 1300 };

milliseconds drawTime(Random &random, milliseconds shortest, milliseconds longest)
{
    const auto spread = static_cast<std::uint64_t>((longest - shortest).count());
    return shortest + milliseconds(static_cast<std::int64_t>(random.below(spread + 1)));
}

/// A set of the first six servers: all, those of one service, or a part of them.
std::size_t drawServers(Random &random)
{
    constexpr std::array<std::size_t, 3> Sets { 0b111111, 0b111000, 0b000111 };
    const std::size_t draw = random.below(Sets.size() + 2);
    if (draw < Sets.size())
        return Sets.at(draw);
    std::size_t servers = 0;
    for (std::size_t i = 0; i < 6; ++i)
        servers |= random.below(5) < 3 ? std::size_t(1) << i : 0;
    return servers;
}

void addChange(Random &random, milliseconds before, Faults &faults)
{
    constexpr std::array Kinds { FaultKind::IdleLimitChanges, FaultKind::TimeoutsChange,
                                 FaultKind::ConfigurationChanges };
    const FaultKind kind = Kinds.at(random.below(Kinds.size()));
    const milliseconds at = before - drawTime(random, milliseconds(0), milliseconds(900));
    faults.push_back({ kind, random.below(1000), at, at + ChangeLength });
}

/// One or two silences in series, with up to three changes of the configuration before them, then
/// time in which every request that waited is answered.
Faults drawSilences(Random &random, milliseconds quietFrom)
{
    constexpr milliseconds Calm { 1500 };
    Faults faults;
    milliseconds at = FirstFault;
    while (at + LongestSilence <= quietFrom) {
        const std::size_t changes = random.below(4);
        for (std::size_t i = 0; i < changes; ++i)
            addChange(random, at, faults);
        const std::size_t silences = 1 + random.below(2);
        for (std::size_t i = 0; i < silences; ++i) {
            const milliseconds end =
                std::min(at + drawTime(random, ShortestSilence, LongestSilence), quietFrom);
            if (end > at)
                faults.push_back({ FaultKind::BackendsSilent, drawServers(random), at, end });
            at = end + drawTime(random, milliseconds(50), milliseconds(400));
        }
        at += Calm + drawTime(random, milliseconds(0), milliseconds(500));
    }
    return faults;
}

Faults drawEndlessMessages(Random &, milliseconds quietFrom)
{
    return { { FaultKind::MessagesWithoutEnd, 0, FirstFault, quietFrom } };
}

/// One gateway after the other is stopped, each when the one before serves again.
Faults drawStops(Random &random, milliseconds quietFrom)
{
    /// From SIGTERM until the process that is started again serves.
    constexpr milliseconds StopLength { 6000 };
    Faults faults;
    std::size_t target = random.below(1000);
    milliseconds at = FirstFault + drawTime(random, milliseconds(0), milliseconds(500));
    for (; at + StopLength / 2 <= quietFrom; at += StopLength, ++target)
        faults.push_back(
            { FaultKind::GatewayStopped, target, at, std::min(at + StopLength, quietFrom) });
    return faults;
}

/// Stops beside the crowd; it goes on from the first of them.
Faults drawUnfinishedRequests(Random &random, milliseconds quietFrom)
{
    Faults faults = drawStops(random, quietFrom);
    faults.push_back({ FaultKind::MessagesWithoutEnd, 0, FirstFault, quietFrom });
    return faults;
}

Faults drawKills(Random &random, milliseconds quietFrom)
{
    constexpr milliseconds Interval { 3000 };
    Faults faults;
    for (milliseconds at = FirstFault + milliseconds(500); at + Interval / 2 <= quietFrom;
         at += Interval) {
        const milliseconds begin = at + drawTime(random, milliseconds(0), milliseconds(400));
        const milliseconds length = drawTime(random, milliseconds(200), milliseconds(900));
        faults.push_back({ FaultKind::AllGatewaysKilled, 0, begin, begin + length });
    }
    return faults;
}

} // namespace

std::vector<Fault> drawTopicFaults(Topic topic, std::uint64_t seed, milliseconds quietFrom)
{
    using Draw = Faults (*)(Random &, milliseconds);
    static const std::map<Topic, Draw> draws {
        { Topic::SilentServers, &drawSilences },
        { Topic::EndlessMessages, &drawEndlessMessages },
        { Topic::RequestsAhead, &drawStops },
        { Topic::StreamsAfterKills, &drawKills },
        { Topic::UnfinishedRequests, &drawUnfinishedRequests },
    };
    constexpr std::uint64_t SeedOffset = 32452843;
    Random random(seed + SeedOffset);
    return draws.at(topic)(random, quietFrom);
}

} // namespace snipestall::soak
