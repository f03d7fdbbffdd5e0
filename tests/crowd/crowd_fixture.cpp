#include "crowd/crowd_fixture.hpp"

#include "crowd/crowd.hpp"
#include "crowd/process_watch.hpp"
#include "harness/http_call.hpp"
#include "harness/wait_until.hpp"
#include "soak/store_rows.hpp"

#include <iostream>
#include <stdexcept>
#include <thread>
#include <utility>

namespace snipestall::crowd {

using namespace std::chrono_literals;
using harness::Process;

namespace {

constexpr auto Host = "127.0.0.1";
constexpr std::size_t BytesPerMegabyte = 1000000;
constexpr std::size_t Servers = 2;
/// Time for which a crowd is given the chance to send all of its bytes, and for which it stays
/// then.
constexpr auto SendTime = 20s;
constexpr auto StayTime = 2s;

constexpr auto Config = R"({"version":1,"limits":{"maxHeaderBytes":16384,"maxBodyBytes":1000000,
 "headerTimeoutMs":6000,"idleTimeoutMs":6000},"routes":[
 {"name":"safe","host":"a.example","prefix":"/safe/","routeType":"idempotent","timeoutMs":30000,
  "targetLatencyMs":20000,"service":"ledger","maxAttempts":2}],
 "services":[{"name":"ledger"}],"tenants":[{"name":"harbour","apiKeys":["secret"]}]})";

} // namespace

CrowdTest::CrowdTest() = default;

CrowdTest::~CrowdTest()
{
    if (HasFailure())
        m_directory.keep();
}

wire::Endpoint CrowdTest::allocate()
{
    return { Host, m_ports.take() };
}

std::unique_ptr<Process> CrowdTest::startProcess(const std::string &name,
                                                 const std::string &program,
                                                 std::vector<std::string> arguments)
{
    auto process =
        Process::start({ name, program, std::move(arguments), m_directory.file(name + ".log") });
    if (!process)
        throw std::runtime_error(process.error().message);
    return std::move(*process);
}

void CrowdTest::start(double slowdown, std::size_t descriptors)
{
    m_descriptors = descriptors;
    const wire::Endpoint store = allocate();
    m_store = startProcess("store", "standin-store", { "--listen=" + store.toString() });
    harness::waitUntil([&] { return soak::putOperatorRow(store, "config", Config); });
    for (std::size_t i = 0; i < Servers; ++i)
        m_servers.push_back(startProcess(
            "server-" + std::to_string(i), "standin-backend",
            { "--id=s" + std::to_string(i), "--listen=" + allocate().toString(), "--slots=64",
              "--store=" + store.toString(), "--slowdown=" + std::to_string(slowdown) }));
    m_callers = allocate();
    m_forward = allocate();
    m_readiness = allocate();
    m_metrics = allocate();
    const std::string settings = m_directory.file("gateway.yaml");
    harness::writeFile(
        settings,
        "instance: edge-1\ndata_centre: east\nfirst_start: true\naddress: 127.0.0.1\ncallers: "
            + m_callers.toString() + "\nreadiness: " + m_readiness.toString() + "\npeer_port: "
            + std::to_string(m_ports.take()) + "\nforward_port: " + std::to_string(m_forward.port)
            + "\nmetrics_port: " + std::to_string(m_metrics.port) + "\nstore: " + store.toString()
            + "\nduties: " + store.toString()
            + "\nserver_heartbeat_ms: 300\nlimits: {memory_mb: " + std::to_string(MachineMegabytes)
            + ", file_descriptors: " + std::to_string(descriptors) + "}\n");
    m_gateway = startProcess("gateway", "snipestall-gateway", { "--settings=" + settings });
    harness::waitUntil([this] { return ordinaryStatus("") == 200; });
}

std::unique_ptr<ProcessWatch> CrowdTest::watch() const
{
    return std::make_unique<ProcessWatch>(
        m_gateway->pid(),
        std::vector<std::uint16_t> { m_callers.port, m_forward.port, m_readiness.port,
                                     m_metrics.port });
}

int CrowdTest::ordinaryStatus(const std::string &body) const
{
    wire::HttpRequest request;
    request.method = "POST";
    request.target = "/safe/x";
    request.fields.set("Host", "a.example");
    request.fields.set("X-Attempt-Id", "ordinary");
    request.fields.set("X-Deadline-Ms", "20000");
    request.fields.set("Authorization", "Bearer secret");
    request.body = body;
    const auto answer = harness::httpCall(m_callers, std::move(request));
    return answer ? answer->status : 0;
}

void CrowdTest::expectAlive()
{
    EXPECT_EQ(m_gateway->exitStatus(), std::nullopt);
}

void CrowdTest::expectWithinMachine(const ProcessWatch &watch) const
{
    EXPECT_LE(watch.mostBytes(), MachineMegabytes * BytesPerMegabyte);
    EXPECT_LE(watch.mostDescriptors(), m_descriptors);
    std::cout << "most bytes " << watch.mostBytes() << ", most unread bytes " << watch.mostUnread()
              << ", most descriptors " << watch.mostDescriptors() << '\n';
}

void CrowdTest::expectServed()
{
    EXPECT_EQ(ordinaryStatus("ordinary"), 200);
}

void CrowdTest::expectLargestServed()
{
    EXPECT_EQ(ordinaryStatus(std::string(LargestBody, 'a')), 200);
}

void CrowdTest::expectBorne(const wire::Endpoint &address, CrowdScript script, std::size_t size)
{
    const std::unique_ptr<ProcessWatch> watched = watch();
    {
        const Crowd crowd(address, std::move(script), size);
        crowd.awaitSent(SendTime);
        std::this_thread::sleep_for(StayTime);
        expectAlive();
    }
    expectServed();
    expectLargestServed();
    expectAlive();
    expectWithinMachine(*watched);
}

std::string CrowdTest::head(const std::string &key, const std::string &path)
{
    return "POST " + path
        + " HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: crowd\r\nX-Deadline-Ms: 30000\r\n"
          "Authorization: Bearer "
        + key + "\r\n";
}

CrowdScript CrowdTest::shortBody(const std::string &requestHead)
{
    CrowdScript script;
    script.start = requestHead + "Content-Length: " + std::to_string(LargestBody) + "\r\n\r\n";
    script.filler = std::string(LargestBody - 1, 'a');
    script.fillerBytes = script.filler.size();
    return script;
}

} // namespace snipestall::crowd
