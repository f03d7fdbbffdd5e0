#include "harness/http_call.hpp"
#include "harness/port_pool.hpp"
#include "harness/proxy_control.hpp"
#include "harness/settings_text.hpp"
#include "harness/topology_test_base.hpp"
#include "harness/wait_until.hpp"

#include "snipestall/admin/messages.hpp"

#include <gmock/gmock.h>

#include <algorithm>
#include <sstream>

namespace snipestall::harness {
namespace {

using testing::HasSubstr;

constexpr auto Weight = "customers/harbour/weight";
constexpr int Ok = 0;
constexpr int Refused = 1;

/// Runs the commands of operators as real processes against a real deployment.
class SettingsPathTest : public TopologyTest
{
protected:
    static TopologySpec spec()
    {
        TopologySpec small = TopologySpec::small();
        small.platformProxied = true;
        return small;
    }

    std::unique_ptr<Process> command(const std::vector<std::string> &servers,
                                     std::vector<std::string> words)
    {
        std::vector<wire::Endpoint> addresses;
        addresses.reserve(servers.size());
        for (const std::string &server : servers)
            addresses.push_back(topology().operators(server));
        return commandAt(addresses, std::move(words));
    }

    std::unique_ptr<Process> commandAt(const std::vector<wire::Endpoint> &servers,
                                       std::vector<std::string> words)
    {
        std::string list;
        for (const wire::Endpoint &server : servers)
            list += (list.empty() ? "" : ",") + server.toString();
        words.push_back("--server=" + list);
        words.push_back(std::string("--key=") + OperatorKey);
        const std::string name = "ctl-" + std::to_string(++m_commands);
        ProcessSpec process { name, "snipestallctl", std::move(words),
                              topology().directory().file(name + ".log") };
        return std::move(Process::start(std::move(process)).value());
    }

    static int waitForExit(Process &process)
    {
        EXPECT_TRUE(waitUntil([&process] { return !process.running(); }));
        return process.exitStatus().value_or(-1);
    }

    int run(const std::vector<std::string> &servers, std::vector<std::string> words)
    {
        const auto process = command(servers, std::move(words));
        const int code = waitForExit(*process);
        m_output = process->log();
        return code;
    }

    std::uint64_t versionAt(const std::string &entry)
    {
        const auto status = topology().status(entry);
        return status ? status->settingsVersion : 0;
    }

    bool inForceEverywhere(std::uint64_t version)
    {
        return waitUntil([&] {
            const auto &entries = topology().spec().entries;
            return std::all_of(entries.begin(), entries.end(), [&](const EntrySpec &entry) {
                return versionAt(entry.name) >= version;
            });
        });
    }

    std::string weightAt(const std::string &entry)
    {
        run({ entry }, { "get", "--effective", "--customer=harbour", "--output=json" });
        return m_output;
    }

    std::string m_output;
    int m_commands = 0;
};

// Guards against a lost change when two operators read the same version and change the same weight
// at once, one in each data centre, while the platform loses the answers to its writes. One of them
// must succeed and be informed of it, the other must be shown the change that succeeded, and every
// instance must end with the value of that change.
TEST_F(SettingsPathTest, OfTwoRacingOperatorsOneWinsAlthoughAnswersAreLost)
{
    start(spec());
    const std::string base = "--base_version=" + std::to_string(versionAt("north-1"));
    topology().setPlatformFaults(R"({"lose_answers":3})");
    const auto north = command({ "north-1", "north-2" }, { "set", Weight, "3", base });
    const auto south = command({ "south-1", "south-2" }, { "set", Weight, "5", base });
    const int northExit = waitForExit(*north);
    const int southExit = waitForExit(*south);
    ASSERT_EQ(northExit + southExit, Ok + Refused) << north->log() << south->log();
    const bool northWon = northExit == Ok;
    const std::string shown = northWon ? south->log() : north->log();
    EXPECT_THAT(shown, HasSubstr(northWon ? "(not set) -> 3" : "(not set) -> 5"));
    EXPECT_THAT(shown, HasSubstr("by tester"));
    ASSERT_TRUE(inForceEverywhere(2));
    const std::string value = northWon ? R"("value":"3")" : R"("value":"5")";
    for (const EntrySpec &entry : topology().spec().entries)
        EXPECT_THAT(weightAt(entry.name), HasSubstr(value)) << entry.name;
}

// Guards against missing or older settings in a data centre that is cut off from the platform. A
// change made in the other data centre must still come into force there, by way of its peers. An
// instance there that is killed and starts again must come back with the change, not with an older
// version and not without settings.
TEST_F(SettingsPathTest, ADataCentreCutOffFromThePlatformFollowsAndNeverGoesBack)
{
    start(spec());
    topology().proxy("platform/south").drop();
    ASSERT_EQ(run({ "north-1" }, { "set", Weight, "3" }), Ok) << m_output;
    ASSERT_TRUE(inForceEverywhere(2));
    topology().process("south-1").kill();
    topology().restart("south-1");
    ASSERT_TRUE(waitUntil([this] { return versionAt("south-1") > 0; }));
    EXPECT_EQ(versionAt("south-1"), 2U);
    EXPECT_THAT(weightAt("south-1"), HasSubstr(R"("value":"3")"));
    EXPECT_NE(run({ "south-1" }, { "set", Weight, "4" }), Ok);
    topology().proxy("platform/south").heal();
    EXPECT_TRUE(waitUntil([this] { return run({ "south-1" }, { "set", Weight, "4" }) == Ok; }));
    EXPECT_TRUE(inForceEverywhere(3));
}

// Guards against making a change twice, or reporting it as failed, when the instance that handles
// an operator's change is killed after the change was stored and before its answer is sent. The
// command must continue at the next instance and report the actual result: the change is stored
// once, under its id.
TEST_F(SettingsPathTest, AChangeWhoseInstanceDiesBeforeItsAnswerIsMadeOnce)
{
    start(spec());
    PortPool ports;
    const wire::Endpoint front { "127.0.0.1", ports.take() };
    const wire::Endpoint control { "127.0.0.1", ports.take() };
    const auto proxy = Process::start({ "front",
                                        "faultproxy",
                                        { "--listen=" + front.toString(),
                                          "--target=" + topology().operators("north-1").toString(),
                                          "--control=" + control.toString() },
                                        topology().directory().file("front.log") });
    ASSERT_TRUE(proxy.has_value()) << proxy.error().message;
    topology().waitForPort(control);
    const ProxyControl answers(control);
    answers.set(R"({"drop":"to_client"})");
    const auto change = commandAt({ front, topology().operators("north-2") },
                                  { "set", Weight, "3", "--base_version=1", "--change_id=once" });
    ASSERT_TRUE(waitUntil([this] { return versionAt("north-1") == 2; }));
    topology().process("north-1").kill();
    ASSERT_TRUE(change->running());
    answers.heal();
    EXPECT_EQ(waitForExit(*change), Ok) << change->log();
    ASSERT_EQ(run({ "north-2" }, { "audit", "--path", Weight, "--output=json" }), Ok) << m_output;
    const auto audit = admin::decodeAudit(m_output);
    ASSERT_TRUE(audit.has_value()) << m_output;
    ASSERT_EQ(audit->records.size(), 1U);
    EXPECT_EQ(audit->records[0].changeId, "once");
    EXPECT_EQ(audit->records[0].toVersion, 2U);
}

constexpr auto Mix = R"(
rate: 20
duration_ms: 2000
seed: 5
classes:
  - {name: chat, share: 2, model: writer, max_tokens: [8, 32]}
  - {name: ledger, share: 1, service: ledger, keyed_share: 1, non_idempotent_share: 1}
)";

/// Returns the sum of the samples of a metric family over every entry instance.
double sumOf(Topology &topology, const std::string &family)
{
    double sum = 0;
    for (const EntrySpec &entry : topology.spec().entries) {
        const auto page = httpGet(topology.operators(entry.name), "/metrics");
        std::istringstream lines(page ? page->body : std::string());
        for (std::string line; std::getline(lines, line);) {
            const bool isSample = line.starts_with(family + "{") || line.starts_with(family + " ");
            if (isSample)
                sum += std::stod(line.substr(line.rfind(' ')));
        }
    }
    return sum;
}

TEST_F(SettingsPathTest, MetricsOfAllInstancesCountEveryRequestOnce)
{
    start(TopologySpec::small());
    const double before = sumOf(topology(), "snipestall_requests_total");
    const auto load = topology().startLoad(Mix);
    const auto report = topology().loadReport(*load);
    const auto &phase = report.at("phases").as_array().at(0).as_object();
    const auto calls = phase.at("calls").to_number<double>();
    const auto resends = phase.at("resends").to_number<double>();
    const double counted = sumOf(topology(), "snipestall_requests_total") - before;
    EXPECT_GE(counted, calls);
    EXPECT_LE(counted, calls + resends);
    EXPECT_GT(sumOf(topology(), "snipestall_first_token_seconds_count"), 0);
    EXPECT_GT(sumOf(topology(), "snipestall_inter_token_seconds_count"), 0);
    EXPECT_GT(sumOf(topology(), "snipestall_platform_transactions_total"), 0);
    EXPECT_GE(sumOf(topology(), "snipestall_attempts_total"), calls);
    EXPECT_EQ(sumOf(topology(), "snipestall_settings_version"), 4);
}

} // namespace
} // namespace snipestall::harness
