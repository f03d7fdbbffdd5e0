// Randomized soak of the gateway: runs real processes, injects faults and checks the guarantees.
//
//     snipestall-soak --seed 7 --seconds 30
//     snipestall-soak --seed 7 --seconds 20 --topic silent-servers
//
// Exit code 0: no guarantee was violated. 1: some were; the files of the run are kept.

#include "soak/ahead_client.hpp"
#include "soak/client.hpp"
#include "soak/deployment.hpp"
#include "soak/endless_client.hpp"
#include "soak/judge.hpp"
#include "soak/topic_judge.hpp"
#include "soak/topic_plan.hpp"
#include "soak/unfinished_client.hpp"

#include "harness/temp_dir.hpp"
#include "snipestall/wire/signal.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <gflags/gflags.h>

#include <algorithm>
#include <iostream>
#include <map>
#include <memory>
#include <optional>
#include <sstream>
#include <utility>
#include <vector>

DEFINE_uint64(seed, 1, "seed of the faults and the requests");
DEFINE_int32(
    seconds, 30,
    "length of the run in seconds; no fault is in force in the last 12, or 8 with a topic");
DEFINE_uint64(gateways, 3, "number of gateway processes");
DEFINE_uint64(backends, 3, "number of backend servers of each of the two services");
DEFINE_uint64(versions, 0,
              "number of software versions of the backend servers; 0: 1 to 3, by the seed");
DEFINE_uint64(clients, 32, "number of clients; each sends one request at a time");
DEFINE_string(
    topic, "all-faults",
    "all-faults, silent-servers, endless-messages, requests-ahead, streams-after-kills or "
    "unfinished-requests");

using namespace snipestall;
using namespace snipestall::soak;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds PollInterval { 50 };
constexpr milliseconds QuietPeriod { 12000 };
constexpr milliseconds QuietPeriodOfTopics { 8000 };
/// In runs with an overload, a service has 12 slots, 8 of which are enough without the flood. A
/// full queue takes a second, so that gateways refuse by load before engines do.
constexpr int FewSlots = 4;
constexpr int QueueWithFewSlots = 16;
constexpr std::size_t ClientsWithFewSlots = 8;
constexpr std::size_t FloodingClients = 64;
/// Six times what the other clients send, and less than the flooding ones do.
constexpr int QuotaInOverload = 300;
constexpr std::size_t AheadClients = 24;
constexpr std::size_t EndlessClients = 4;
constexpr std::size_t UnfinishedClients = 120;

/// The beginning or end of a fault.
struct Step
{
    milliseconds at { 0 };
    const Fault *fault = nullptr;
    bool begins = true;
};

std::vector<Step> stepsOf(const std::vector<Fault> &faults)
{
    std::vector<Step> steps;
    for (const Fault &fault : faults) {
        steps.push_back({ fault.begin, &fault, true });
        steps.push_back({ fault.end, &fault, false });
    }
    std::stable_sort(steps.begin(), steps.end(),
                     [](const Step &a, const Step &b) { return a.at < b.at; });
    return steps;
}

wire::Task<void> driveRun(Deployment &deployment, const RunRecord &record, milliseconds length,
                          const std::vector<std::unique_ptr<Caller>> &clients, int &runningClients)
{
    const std::vector<Step> steps = stepsOf(record.faults);
    std::size_t next = 0;
    while (std::chrono::steady_clock::now() < record.startedAt + length) {
        while (next < steps.size()
               && std::chrono::steady_clock::now() >= record.startedAt + steps[next].at) {
            const Step &step = steps[next++];
            std::cout << step.at.count() << " ms: " << nameOf(step.fault->kind)
                      << (step.begins ? " begins " : " ends ") << step.fault->target << std::endl;
            if (step.begins)
                deployment.begin(*step.fault);
            else
                deployment.end(*step.fault);
        }
        deployment.restartEnded();
        deployment.readMemory();
        co_await wire::sleepFor(PollInterval);
    }
    for (const auto &client : clients)
        client->stop();
    while (runningClients > 0)
        co_await wire::sleepFor(PollInterval);
}

wire::Task<void> runClient(Caller &client, int &runningClients)
{
    co_await client.run();
    --runningClients;
}

std::uint64_t versions(Topic topic)
{
    constexpr std::uint64_t MostVersions = 3;
    if (FLAGS_versions != 0)
        return FLAGS_versions;
    return topic == Topic::StreamsAfterKills ? MostVersions : 1 + FLAGS_seed % MostVersions;
}

std::vector<std::unique_ptr<Caller>> makeClients(boost::asio::io_context &io,
                                                 const Deployment &deployment, bool overload)
{
    std::vector<std::unique_ptr<Caller>> clients;
    const std::size_t steady = overload ? ClientsWithFewSlots : FLAGS_clients;
    const std::size_t all = steady + (overload ? FloodingClients : 0);
    const auto seed = [&clients] { return FLAGS_seed * 1000 + clients.size(); };
    for (std::size_t i = 0; i < all; ++i)
        clients.push_back(std::make_unique<Client>(io, deployment, i, seed(), i >= steady));
    const Topic topic = deployment.topic();
    for (std::size_t i = 0; topic == Topic::RequestsAhead && i < AheadClients; ++i)
        clients.push_back(std::make_unique<AheadClient>(io, deployment, i, seed()));
    for (std::size_t i = 0; topic == Topic::EndlessMessages && i < EndlessClients; ++i)
        clients.push_back(std::make_unique<EndlessClient>(io, deployment, i, seed()));
    for (std::size_t i = 0; topic == Topic::UnfinishedRequests && i < UnfinishedClients; ++i)
        clients.push_back(std::make_unique<UnfinishedClient>(io, deployment, i, seed()));
    return clients;
}

milliseconds quietFrom(Topic topic)
{
    return std::chrono::seconds(FLAGS_seconds)
        - (topic == Topic::AllFaults ? QuietPeriod : QuietPeriodOfTopics);
}

RunRecord runSoak(Deployment &deployment, std::vector<Fault> faults)
{
    boost::asio::io_context io(1);
    RunRecord record;
    const milliseconds length = std::chrono::seconds(FLAGS_seconds);
    record.quietFrom = quietFrom(deployment.topic());
    record.faults = std::move(faults);
    const std::vector<std::unique_ptr<Caller>> clients =
        makeClients(io, deployment, hasKind(record.faults, FaultKind::Overload));
    int runningClients = static_cast<int>(clients.size());
    record.startedAt = std::chrono::steady_clock::now();
    for (const auto &client : clients)
        boost::asio::co_spawn(io, runClient(*client, runningClients), boost::asio::detached);
    boost::asio::co_spawn(io, driveRun(deployment, record, length, clients, runningClients),
                          [&io](const std::exception_ptr &error) {
                              io.stop();
                              if (error)
                                  std::rethrow_exception(error);
                          });
    io.run();
    for (const auto &client : clients)
        record.attempts.insert(record.attempts.end(), client->attempts().begin(),
                               client->attempts().end());
    record.addedRoutes = deployment.addedRoutes();
    record.versionOrders = deployment.versionOrders();
    record.unexpectedEnds = deployment.unexpectedEnds();
    record.memoryGrowth = deployment.memoryGrowth();
    record.runLog = harness::readFile(deployment.runLog());
    for (std::size_t i = 0; i < deployment.gateways(); ++i)
        record.gatewayLog +=
            harness::readFile(deployment.directory() + "/gateway-" + std::to_string(i) + ".log");
    record.dutyLog = harness::readFile(deployment.dutyLog());
    return record;
}

void printOverload(const RunRecord &record)
{
    std::map<int, std::size_t> statuses;
    for (const Attempt &attempt : record.attempts)
        ++statuses[attempt.status];
    std::istringstream log(record.gatewayLog);
    std::size_t byLoad = 0;
    for (std::string line; std::getline(log, line);)
        byLoad += line.find(R"("overload-refused")") == std::string::npos ? 0 : 1;
    std::cout << "seed " << FLAGS_seed << ": " << byLoad << " refusals by load; statuses:";
    for (const auto &[status, count] : statuses)
        std::cout << ' ' << status << " x " << count;
    std::cout << '\n';
}

} // namespace

int main(int argc, char **argv)
{
    gflags::SetUsageMessage("randomized soak of snipestall-gateway");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const std::optional<Topic> topic = topicNamed(FLAGS_topic);
    if (!topic) {
        std::cerr << "no such topic: " << FLAGS_topic << '\n';
        return 2;
    }
    // Where versions serve side by side, an order for one of them has no meaning.
    const bool all = *topic == Topic::AllFaults;
    const bool ordersVersion = all && versions(*topic) == 1;
    std::vector<Fault> faults = all ? drawFaults(FLAGS_seed, quietFrom(*topic), ordersVersion)
                                    : drawTopicFaults(*topic, FLAGS_seed, quietFrom(*topic));
    DeploymentSize size { FLAGS_gateways, FLAGS_backends, versions(*topic), ordersVersion,
                          hasKind(faults, FaultKind::PartCrashesBackends) };
    size.topic = *topic;
    if (hasKind(faults, FaultKind::Overload)) {
        size.slots = FewSlots;
        size.queue = QueueWithFewSlots;
        size.quota = QuotaInOverload;
    }
    Deployment deployment(size);
    deployment.waitUntilReady();
    const RunRecord record = runSoak(deployment, std::move(faults));
    std::size_t served = 0;
    std::size_t takenUp = 0;
    std::size_t goneOn = 0;
    for (const Attempt &attempt : record.attempts) {
        served += attempt.status == 200 && attempt.complete ? 1 : 0;
        takenUp += attempt.resumes.empty() ? 0 : 1;
        goneOn += !attempt.resumes.empty() && attempt.status == 200 ? 1 : 0;
    }
    if (hasKind(record.faults, FaultKind::Overload))
        printOverload(record);
    std::vector<std::string> findings = Judge(record).findings();
    TopicJudge topicJudge(record, *topic);
    const std::vector<std::string> ofTopic = topicJudge.findings();
    findings.insert(findings.end(), ofTopic.begin(), ofTopic.end());
    for (const std::string &finding : findings)
        std::cout << "BROKEN " << finding << '\n';
    std::cout << "seed " << FLAGS_seed << ": " << record.attempts.size() << " requests, " << served
              << " served whole, " << takenUp << " streams of " << versions(*topic)
              << " versions taken up, " << goneOn << " went on, " << record.faults.size()
              << " faults, " << findings.size() << " findings\n";
    if (!all)
        std::cout << "seed " << FLAGS_seed << ", " << nameOf(*topic) << ": " << topicJudge.summary()
                  << '\n';
    for (const VersionOrder &order : record.versionOrders)
        std::cout
            << "seed " << FLAGS_seed << ": a " << (order.isBad ? "bad" : "good") << " version of "
            << order.service << ": " << order.state << " after "
            << std::chrono::duration_cast<milliseconds>(order.endedAt - order.orderedAt).count()
            << " ms\n";
    if (findings.empty())
        return 0;
    deployment.keepFiles();
    std::cout << "files kept in " << deployment.directory() << '\n';
    return 1;
}
