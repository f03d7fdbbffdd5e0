#include "harness/http_call.hpp"
#include "harness/ledger_files.hpp"
#include "harness/settings_text.hpp"
#include "harness/topology_test_base.hpp"
#include "harness/wait_until.hpp"

namespace snipestall::harness {
namespace {

constexpr auto Mix = R"(
rate: 30
duration_ms: 3000
seed: 3
classes:
  - {name: chat, share: 2, model: writer, keyed_share: 0.5, max_tokens: [8, 32]}
  - {name: ledger, share: 1, service: ledger, keyed_share: 1, non_idempotent_share: 1,
     repeated_share: 0.3}
)";

class HarnessTest : public TopologyTest
{ };

TEST_F(HarnessTest, AWholeDeploymentServesALoadCleanly)
{
    start(TopologySpec::small());
    const auto load = topology().startLoad(Mix);
    const auto report = topology().loadReport(*load);
    EXPECT_EQ(load->exitStatus(), 0) << load->log();
    EXPECT_TRUE(report.at("clean").as_bool());
    EXPECT_FALSE(topology().ledger().attempts().empty());
    EXPECT_FALSE(topology().ledger().runs().empty());
}

TEST_F(HarnessTest, ACutBetweenDataCentresIsSeenOnBothSidesAndHeals)
{
    TopologySpec spec = TopologySpec::small();
    spec.linksProxied = true;
    start(spec);
    const auto state = [this](const std::string &of, const std::string &by) -> std::string {
        const auto status = topology().status(by);
        for (const auto &peer : status ? status->peers : std::vector<admin::PeerStatus>()) {
            if (peer.name == of)
                return peer.state;
        }
        return {};
    };
    topology().cutDataCentres("north", "south");
    EXPECT_TRUE(waitUntil([&] { return state("south-1", "north-1") == "suspected"; }));
    EXPECT_TRUE(waitUntil([&] { return state("north-1", "south-1") == "suspected"; }));
    EXPECT_EQ(state("north-2", "north-1"), "up");
    topology().reconnectDataCentres("north", "south");
    EXPECT_TRUE(waitUntil([&] { return state("south-1", "north-1") == "up"; }));
    EXPECT_TRUE(waitUntil([&] { return state("north-1", "south-1") == "up"; }));
}

TEST_F(HarnessTest, AKilledServerComesBackAtItsAddressAndItsRecordStays)
{
    TopologySpec spec;
    spec.servers = { { "engine-1", "north", "language", { "writer" } } };
    auto started = Topology::start(spec);
    ASSERT_TRUE(started.has_value()) << started.error().message;
    Topology &topology = **started;
    const std::string call = R"({"model":"writer","prompt":"p","max_tokens":2,"request":"r",)"
                             R"("attempt":"a","stream":true})";
    ASSERT_TRUE(httpPost(topology.server("engine-1"), "/v1/completions", call).has_value());
    topology.process("engine-1").kill();
    EXPECT_EQ(attemptsOf(topology.ledger(), "r").size(), 1);
    topology.restart("engine-1");
    EXPECT_TRUE(httpGet(topology.server("engine-1"), "/load").has_value());
}

} // namespace
} // namespace snipestall::harness
