#include "policy/harness/callers.hpp"
#include "policy/harness/cluster.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <variant>

namespace snipestall::policy::harness {
namespace {

using namespace std::chrono_literals;

/// Sends every request to the first server that it learns of; on notice moves all of them to the
/// second.
class MoveOnNotice final : public DecisionMaker
{
public:
    explicit MoveOnNotice(MoveMethod method)
        : m_method(method)
    { }

    void step(Time, std::span<const Event> events, std::vector<Command> &commands) override
    {
        for (const auto &event : events) {
            if (const auto *up = std::get_if<ServerUp>(&event)) {
                m_servers.push_back(up->server);
            } else if (const auto *arrived = std::get_if<RequestArrived>(&event)) {
                const AttemptHandle attempt { ++m_lastAttempt };
                m_running.push_back({ arrived->request, attempt });
                commands.push_back(Dispatch { arrived->request, attempt, m_servers.at(0) });
            } else if (std::holds_alternative<ServerLeaving>(event)) {
                moveAll(commands);
            }
        }
    }
    [[nodiscard]] std::optional<Time> nextWake() const override { return std::nullopt; }
    [[nodiscard]] std::vector<PoolSummary> summaries(Time) const override { return {}; }

private:
    void moveAll(std::vector<Command> &commands)
    {
        for (const auto &[request, from] : m_running) {
            const AttemptHandle attempt { ++m_lastAttempt };
            commands.push_back(MoveStream { request, from, attempt, m_servers.at(1), m_method });
        }
    }

    MoveMethod m_method;
    std::vector<ServerHandle> m_servers;
    std::vector<std::pair<RequestHandle, AttemptHandle>> m_running;
    std::uint64_t m_lastAttempt = 0;
};

/// Runs one entry instance with two servers; the first server gets notice while it serves.
Ledger runMove(MoveMethod method)
{
    auto deployment = *makeDeployment("karadeniz");
    deployment.dataCentres.resize(1);
    deployment.entriesPerDataCentre = 1;
    deployment.groups = { { deployment.modelService, "samsun-hall", "spot-small", 2 } };
    deployment.nominalServers = 2;
    ClusterOptions options;
    options.factory = [method](const std::string &, std::uint64_t) {
        return std::make_unique<MoveOnNotice>(method);
    };
    Cluster cluster(deployment, options);
    Callers callers(cluster, 5);
    Load load;
    load.level = 0.2;
    load.plainLevel = 0;
    callers.setLoad(load);
    cluster.run(Time { 8s });
    load.level = 0;
    callers.setLoad(load);
    const std::vector<FleetServer *> leaving { cluster.fleet().alive(deployment.modelService)[0] };
    cluster.reclaim(leaving, 5s);
    cluster.run(Time { 60s });
    return std::move(cluster.ledger());
}

bool allWhole(const Ledger &ledger)
{
    return std::ranges::all_of(ledger.calls, [](const Call &call) {
        return call.outcome == Outcome::Answered && call.produced == call.outputTokens;
    });
}

TEST(MoveStream, CarriesTheCacheAlong)
{
    const auto ledger = runMove(MoveMethod::ExportKv);
    EXPECT_TRUE(allWhole(ledger));
    EXPECT_EQ(std::ranges::count(ledger.calls, 2U, &Call::attempts), 1);
    EXPECT_EQ(ledger.lostTokens({}), 0U);
}

TEST(MoveStream, ComputesPromptAndOutputAgainOnResume)
{
    const auto ledger = runMove(MoveMethod::Resume);
    EXPECT_TRUE(allWhole(ledger));
    const auto moved = std::ranges::find(ledger.calls, 2U, &Call::attempts);
    ASSERT_NE(moved, ledger.calls.end());
    const auto prompt = moved->prefix.size() * BlockTokens;
    EXPECT_GT(ledger.lostTokens({}), prompt);
    EXPECT_LT(ledger.lostTokens({}), prompt + moved->outputTokens);
}

} // namespace
} // namespace snipestall::policy::harness
