#include "snipestall/serving/server_limit_model.hpp"

#include <gtest/gtest.h>

#include <algorithm>

namespace snipestall::serving {

using namespace std::chrono_literals;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds ExchangeInterval { 200 };
constexpr std::size_t DataCentres = 3;
/// Time of contact: within it, all instances are to keep a limit.
constexpr std::chrono::seconds Contact { 3 };
constexpr std::chrono::seconds Window { 4 };
/// An instance that has been told keeps the limit after this time.
constexpr milliseconds ToldFor { 500 };

/// Requests that a server with a limit may get within the window.
double allowedAt(double perSecond)
{
    return 1.5 * perSecond * static_cast<double>(Window.count()) + 5;
}

} // namespace

// --- The model -------------------------------------------------------------------------------

ServerLimitModel::ServerLimitModel(std::size_t instances, double requestsPerSecond,
                                   std::uint64_t seed)
    : m_requestsPerSecond(requestsPerSecond)
    , m_random(seed)
{
    const std::size_t servers = std::max<std::size_t>(4, instances);
    for (std::size_t i = 0; i < servers; ++i) {
        ServerState server;
        server.key = "i-" + std::to_string(i);
        server.info.dataCentre = "dc" + std::to_string(i % DataCentres);
        m_servers.push_back(server);
    }
    m_inFlight.resize(servers);
    addInstances(instances, 0ms);
}

void ServerLimitModel::addInstances(std::size_t count, milliseconds learnedWithin)
{
    m_instancesSettledAt = m_now + learnedWithin + 40 * ExchangeInterval;
    m_fleet.addInstances(count);
    const std::size_t before = m_instances.size();
    for (std::size_t i = before; i < before + count; ++i) {
        const std::string name = "edge-" + std::to_string(i);
        m_instances.push_back({ name,
                                "dc" + std::to_string(i % DataCentres),
                                ServerLimits(name),
                                {},
                                {},
                                {},
                                1,
                                {} });
        m_instances[i].registeredAt = m_now;
        m_instances[i].learnedWithin = learnedWithin;
    }
    for (std::size_t i = before; i < m_instances.size(); ++i)
        start(i);
}

void ServerLimitModel::start(std::size_t index)
{
    Instance &instance = m_instances[index];
    ++instance.incarnation;
    instance.limits = ServerLimits(instance.name);
    instance.nextExchange = m_now + milliseconds(m_random.below(ExchangeInterval.count()));
    learnInstances(index);
}

void ServerLimitModel::learnInstances(std::size_t index)
{
    std::map<std::string, std::string> known;
    for (std::size_t i = 0; i < m_instances.size(); ++i) {
        const Instance &other = m_instances[i];
        // A process that starts reads the table of instances itself.
        const auto learnedAt = other.registeredAt
            + other.learnedWithin * static_cast<int>(index) / static_cast<int>(m_instances.size());
        if (i == index || learnedAt <= m_now
            || m_instances[index].registeredAt >= other.registeredAt)
            known[other.name] = other.dataCentre;
    }
    m_instances[index].limits.setInstances(std::move(known));
}

void ServerLimitModel::nameLimit(std::optional<double> perSecond)
{
    m_limit = perSecond;
    m_namedAt = m_now;
}

void ServerLimitModel::passReports(const Instance &from, Instance &to) const
{
    for (const ServerLimitReport &report : from.limits.reports(m_now))
        to.limits.apply(report, m_now);
}

void ServerLimitModel::exchange(std::size_t index)
{
    Instance &instance = m_instances[index];
    instance.nextExchange = m_now + ExchangeInterval;
    if (m_now < m_instancesSettledAt && m_random.uniform() < 0.1)
        learnInstances(index);
    for (const std::size_t partner : m_fleet.partnersOf(index)) {
        passReports(instance, m_instances[partner]);
        passReports(m_instances[partner], instance);
    }
}

bool ServerLimitModel::counts(std::size_t index) const
{
    const Instance &instance = m_instances[index];
    return m_limit && m_now >= m_namedAt + Contact && instance.toldAt
        && m_now >= *instance.toldAt + ToldFor && m_now >= m_fleet.disturbedUntil(index) + Contact;
}

std::optional<std::size_t> ServerLimitModel::chooseServer(const Instance &instance)
{
    const bool mayUseFirst = instance.limits.maySend(m_servers[0], m_now);
    const std::size_t other = 1 + m_random.below(m_servers.size() - 1);
    if (!instance.limits.maySend(m_servers[other], m_now))
        return mayUseFirst ? std::optional<std::size_t>(0) : std::nullopt;
    return mayUseFirst && m_inFlight[0] <= m_inFlight[other] ? 0 : other;
}

void ServerLimitModel::send(std::size_t index)
{
    Instance &instance = m_instances[index];
    const auto server = chooseServer(instance);
    if (!server) {
        ++m_refused;
        return;
    }
    instance.limits.requestSent(m_servers[*server], m_now);
    ++m_inFlight[*server];
    m_answers.emplace(m_now + milliseconds(20 + m_random.below(300)),
                      Answer { index, instance.incarnation, *server });
    if (*server == 0)
        m_arrivals.push_back({ m_now, counts(index) });
}

void ServerLimitModel::serve(std::size_t index, double mean)
{
    int requests = static_cast<int>(mean);
    requests += m_random.uniform() < mean - requests ? 1 : 0;
    for (int i = 0; i < requests; ++i)
        send(index);
}

void ServerLimitModel::deliverAnswers()
{
    while (!m_answers.empty() && m_answers.begin()->first <= m_now) {
        const Answer answer = m_answers.begin()->second;
        m_answers.erase(m_answers.begin());
        --m_inFlight[answer.server];
        Instance &instance = m_instances[answer.instance];
        if (!m_fleet.isRunning(answer.instance) || instance.incarnation != answer.incarnation)
            continue;
        const auto limit = answer.server == 0 ? m_limit : std::nullopt;
        instance.limits.answered(m_servers[answer.server], limit, m_now);
        if (limit && !instance.toldAt)
            instance.toldAt = m_now;
    }
}

void ServerLimitModel::run(milliseconds length)
{
    for (milliseconds passed { 0 }; passed < length; passed += Tick) {
        m_now += Tick;
        m_fleet.setNow(m_now);
        deliverAnswers();
        for (const std::size_t index : m_fleet.startDue())
            start(index);
        const double mean = m_requestsPerSecond * std::chrono::duration<double>(Tick).count()
            / static_cast<double>(m_fleet.running());
        for (std::size_t i = 0; i < m_instances.size(); ++i) {
            if (!m_fleet.isRunning(i))
                continue;
            if (m_now >= m_instances[i].nextExchange)
                exchange(i);
            serve(i, mean);
        }
        if (!m_limit)
            continue;
        const auto counted =
            std::count_if(m_arrivals.begin(), m_arrivals.end(), [this](const Arrival &arrival) {
                return arrival.counts && arrival.time > m_now - Window && arrival.time > m_namedAt;
            });
        m_worstExcess = std::max(m_worstExcess, static_cast<double>(counted) - allowedAt(*m_limit));
        std::erase_if(m_arrivals,
                      [this](const Arrival &arrival) { return arrival.time < m_now - 3 * Window; });
    }
}

double ServerLimitModel::worstExcess() const
{
    return m_worstExcess;
}

int ServerLimitModel::arrivalsWithin(milliseconds length) const
{
    return static_cast<int>(
        std::ranges::count_if(m_arrivals, [this, length](const Arrival &arrival) {
            return arrival.time > m_now - length;
        }));
}

namespace {

struct FleetCase
{
    std::size_t instances;
    double perSecond;
};

std::ostream &operator<<(std::ostream &out, const FleetCase &fleet)
{
    return out << fleet.instances << " instances, " << fleet.perSecond << " per second";
}

std::vector<std::size_t> someOf(const ServerLimitModel &fleet, double share, Random &random)
{
    std::vector<std::size_t> indices;
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        if (random.uniform() < share)
            indices.push_back(i);
    }
    return indices;
}

/// Each server would get about 12 requests per second.
class LimitFleet : public testing::TestWithParam<FleetCase>
{
protected:
    static ServerLimitModel fleetWith(std::uint64_t seed)
    {
        const std::size_t instances = GetParam().instances;
        const auto servers = static_cast<double>(std::max<std::size_t>(4, instances));
        return ServerLimitModel(instances, 12 * servers, seed);
    }
};

// Guards against a server in need that gets a multiple of its limit, since each instance keeps it
// alone or gets a share of its own; and against one that gets nothing any more.
TEST_P(LimitFleet, TheServerGetsNoMoreThanItsLimitAndAboutAsMuch)
{
    ServerLimitModel fleet = fleetWith(1);
    fleet.run(3s);
    fleet.nameLimit(GetParam().perSecond);
    fleet.run(20s);
    EXPECT_LE(fleet.worstExcess(), 0);
    const double wanted = std::min(GetParam().perSecond, 12.0) * 10;
    EXPECT_GE(fleet.arrivalsWithin(10s), 0.5 * wanted - 1);
    EXPECT_EQ(fleet.refused(), 0);
}

// Guards against a limit that is kept after the server has lifted it, by instances that do not send
// to the server any more.
TEST_P(LimitFleet, ALiftedLimitIsForgottenByAll)
{
    ServerLimitModel fleet = fleetWith(2);
    fleet.nameLimit(GetParam().perSecond);
    fleet.run(15s);
    fleet.nameLimit(std::nullopt);
    fleet.run(14s);
    EXPECT_GE(fleet.arrivalsWithin(2s), 12);
}

// Guards against the old limit being kept when the server names a lower one.
TEST_P(LimitFleet, ALoweredLimitCountsAtOnce)
{
    ServerLimitModel fleet = fleetWith(3);
    fleet.nameLimit(4 * GetParam().perSecond);
    fleet.run(12s);
    fleet.nameLimit(GetParam().perSecond);
    fleet.run(12s);
    EXPECT_LE(fleet.worstExcess(), 0);
}

// Guards against more requests than the limit allows in any order of kills, suspensions and
// partitions, as processes that start know of no limit.
TEST_P(LimitFleet, AnySeriesOfDisturbancesKeepsTheLimit)
{
    for (std::uint64_t seed = 1; seed <= 4; ++seed) {
        Random random(seed);
        ServerLimitModel fleet = fleetWith(seed);
        fleet.run(3s);
        fleet.nameLimit(GetParam().perSecond);
        fleet.run(5s);
        for (int i = 0; i < 12; ++i) {
            const milliseconds length(200 + random.below(4000));
            const auto affected = someOf(fleet, random.uniform(), random);
            switch (random.below(3)) {
            case 0:
                fleet.disturb().kill(affected, length / 4);
                break;
            case 1:
                fleet.disturb().freeze(affected, length);
                break;
            default:
                fleet.disturb().cutOff(affected, 2 * length);
            }
            fleet.run(milliseconds(random.below(3000)));
        }
        EXPECT_LE(fleet.worstExcess(), 0) << "seed " << seed;
    }
}

// Guards against two sets of instances that each take the whole limit, while some have not learned
// of new instances yet.
TEST_P(LimitFleet, NewInstancesThatSomeDoNotKnowYetKeepTheLimit)
{
    for (std::uint64_t seed = 1; seed <= 4; ++seed) {
        ServerLimitModel fleet = fleetWith(seed);
        fleet.run(3s);
        fleet.nameLimit(GetParam().perSecond);
        fleet.run(5s);
        fleet.addInstances(1 + fleet.size() / 10, fleet.size() > 12 ? 60s : 1s);
        fleet.run(20s);
        EXPECT_LE(fleet.worstExcess(), 0) << "seed " << seed;
    }
}

INSTANTIATE_TEST_SUITE_P(Sizes, LimitFleet,
                         testing::Values(FleetCase { 1, 1 }, FleetCase { 9, 1 },
                                         FleetCase { 9, 0.2 }, FleetCase { 9, 6 },
                                         FleetCase { 60, 1 }, FleetCase { 60, 6 },
                                         FleetCase { 300, 1 }, FleetCase { 300, 6 }));

} // namespace
} // namespace snipestall::serving
