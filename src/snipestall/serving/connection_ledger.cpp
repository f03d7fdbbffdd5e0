#include "snipestall/serving/connection_ledger.hpp"

#include <algorithm>
#include <array>
#include <chrono>

namespace snipestall::serving {

using std::chrono::milliseconds;

namespace {

/// Part of the memory that bodies of more than ordinary size may use: three quarters.
constexpr std::size_t LargeNumerator = 3;
constexpr std::size_t LargeDenominator = 4;
/// Bytes of a request that count as progress: a client that sends single bytes makes none.
constexpr std::size_t ProgressBytes = std::size_t(16) * 1024;
/// Part of the memory, or of the connections, that is freed at once: freeing looks at all
/// connections.
constexpr std::size_t BatchDivisor = 16;

struct StageRule
{
    ConnectionStage stage;
    const char *name;
    /// Whether a connection may be closed in this stage.
    bool mayClose = false;
    /// Time without progress after which it may be. Requests pause for less than this while
    /// packets are repeated; answers are written in large pieces.
    milliseconds patience { 0 };
};

constexpr std::array<StageRule, 5> Rules { {
    { ConnectionStage::Idle, "idle", true, milliseconds(250) },
    { ConnectionStage::Arriving, "arriving", true, milliseconds(250) },
    { ConnectionStage::Running, "running", false, milliseconds(0) },
    { ConnectionStage::Answering, "answering", true, milliseconds(2000) },
    { ConnectionStage::Closing, "closing", true, milliseconds(250) },
} };

const StageRule &ruleOf(ConnectionStage stage)
{
    return *std::ranges::find(Rules, stage, &StageRule::stage);
}

} // namespace

const char *toString(ConnectionStage stage)
{
    return ruleOf(stage).name;
}

ConnectionLedger::ConnectionLedger(std::size_t bytes)
    : m_bytes(bytes)
{ }

ConnectionLedger::Id ConnectionLedger::open(SteadyTime now)
{
    m_entries[m_next].progressAt = now;
    return m_next++;
}

void ConnectionLedger::close(Id id)
{
    release(id);
    m_entries.erase(id);
}

void ConnectionLedger::enter(Id id, ConnectionStage stage, SteadyTime now)
{
    Entry &entry = m_entries.at(id);
    entry.stage = stage;
    entry.progressAt = now;
    entry.arrivedAtProgress = 0;
}

void ConnectionLedger::arrived(Id id, std::size_t bytes, SteadyTime now)
{
    Entry &entry = m_entries.at(id);
    if (bytes < entry.arrivedAtProgress + ProgressBytes)
        return;
    entry.progressAt = now;
    entry.arrivedAtProgress = bytes;
}

std::size_t ConnectionLedger::limit() const
{
    constexpr std::size_t Bodies = 2;
    // Rounded up, so that these bodies fit into their part.
    const std::size_t forLargest =
        (Bodies * m_largestBody * LargeDenominator + LargeNumerator - 1) / LargeNumerator;
    return std::max(m_bytes, forLargest);
}

bool ConnectionLedger::hasRoom(const Entry &entry, std::size_t bytes, std::size_t freed) const
{
    const std::size_t most =
        bytes > OrdinaryBytes ? limit() * LargeNumerator / LargeDenominator : limit();
    return m_held - freed - entry.held + bytes <= most;
}

bool ConnectionLedger::hold(Id id, std::size_t bytes)
{
    Entry &entry = m_entries.at(id);
    if (bytes > entry.held && !hasRoom(entry, bytes, 0))
        return false;
    m_held = m_held - entry.held + bytes;
    entry.held = bytes;
    return true;
}

void ConnectionLedger::release(Id id)
{
    Entry &entry = m_entries.at(id);
    m_held -= entry.held;
    entry.held = 0;
}

template<typename Condition>
std::vector<ConnectionLedger::Candidate> ConnectionLedger::stalled(SteadyTime now,
                                                                   Condition counts) const
{
    std::vector<Candidate> found;
    for (const auto &[id, entry] : m_entries) {
        const StageRule &rule = ruleOf(entry.stage);
        const SteadyTime::duration stalledFor = now - entry.progressAt;
        if (rule.mayClose && stalledFor >= rule.patience && counts(entry))
            found.push_back({ id, stalledFor, entry.held });
    }
    std::ranges::sort(found, std::greater<>(), &Candidate::stalled);
    return found;
}

std::vector<ConnectionLedger::Id> ConnectionLedger::closeForMemory(Id id, std::size_t bytes,
                                                                   SteadyTime now)
{
    const Entry &entry = m_entries.at(id);
    const std::size_t batch = limit() / BatchDivisor;
    std::vector<Id> closed;
    std::size_t freed = 0;
    for (const Candidate &candidate :
         stalled(now, [](const Entry &other) { return other.held > 0; })) {
        if (freed >= batch && hasRoom(entry, bytes, freed))
            break;
        if (candidate.id == id)
            continue;
        freed += candidate.held;
        closed.push_back(candidate.id);
    }
    if (!hasRoom(entry, bytes, freed))
        return {};
    for (const Id other : closed)
        release(other);
    return closed;
}

std::vector<ConnectionLedger::Id> ConnectionLedger::unfinishedHolders() const
{
    std::vector<Id> holders;
    for (const auto &[id, entry] : m_entries) {
        if (entry.held > 0 && ruleOf(entry.stage).mayClose)
            holders.push_back(id);
    }
    return holders;
}

std::vector<ConnectionLedger::Id> ConnectionLedger::closeForConnections(SteadyTime now) const
{
    // Idle connections are within the limits of the configuration; they go when no others can.
    std::vector<Candidate> found =
        stalled(now, [](const Entry &entry) { return entry.stage != ConnectionStage::Idle; });
    if (found.empty())
        found = stalled(now, [](const Entry &) { return true; });
    found.resize(std::min(found.size(), m_entries.size() / BatchDivisor + 1));
    std::vector<Id> closed;
    closed.reserve(found.size());
    for (const Candidate &candidate : found)
        closed.push_back(candidate.id);
    return closed;
}

} // namespace snipestall::serving
