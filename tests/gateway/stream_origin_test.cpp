// Tests of streams that are continued while servers of several software versions serve, over the
// whole path on loopback.

#include "cut_instance.hpp"

#include "snipestall/wire/event_stream_parser.hpp"
#include "snipestall/wire/http_stream.hpp"

#include <boost/algorithm/string/replace.hpp>

#include <algorithm>
#include <array>
#include <chrono>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace snipestall::gateway {
namespace {

using namespace std::chrono_literals;
using Behaviour = TestBackend::Behaviour;
using wire::Task;

constexpr int Streams = 40;
/// Streams that may all be sent to a second server, by the limit on repeats in the settings.
constexpr int StreamsWithinBudget = 20;
/// Part of the broken streams that has to go on where their origin can be known.
constexpr double MinContinued = 0.95;
/// Longer than the reports between instances need.
constexpr auto ReportTime = 1s;
/// Longer than a version needs to be registered and used.
constexpr auto RegisterTime = 2s;

/// What one attempt of a caller asks for.
struct StreamCall
{
    std::string target = "/again/x";
    std::string key = "secret";
    std::optional<int> after;
    std::optional<std::string> resumes;
    /// Id of the attempt; a new one if it is empty.
    std::string attempt;
    /// The caller leaves after this many events; 0 if it waits for the end.
    int events = TestBackend::EventsBeforeCrash;
};

/// What one attempt of a caller got.
struct StreamPart
{
    std::string attempt;
    unsigned status = 0;
    bool complete = false;
    bool hasRetryAfter = false;
    /// Whether the answer has fields that only instances may see.
    bool hasOrigin = false;
    int last = 0;
    /// Versions of the servers that wrote the events.
    std::set<std::string> versions;
};

/// A gateway on a thread of its own, so that it can be ended at any moment as by a kill.
class KillableGateway
{
public:
    explicit KillableGateway(const GatewaySettings &settings)
    {
        auto gateway = Gateway::create(m_io, settings);
        if (!gateway)
            return;
        m_gateway = std::move(*gateway);
        m_gateway->start();
        m_thread = std::thread([this] { m_io.run(); });
    }
    ~KillableGateway() { kill(); }
    KillableGateway(const KillableGateway &) = delete;
    KillableGateway &operator=(const KillableGateway &) = delete;

    void kill()
    {
        if (!m_thread.joinable())
            return;
        m_io.stop();
        m_thread.join();
        m_gateway.reset();
    }

private:
    boost::asio::io_context m_io { 1 };
    std::unique_ptr<Gateway> m_gateway;
    std::thread m_thread;
};

class StreamOriginTest : public GatewayPathTest
{
protected:
    StreamOriginTest()
    {
        setVersions("v1", "v2");
        for (TestBackend *backend : all())
            backend->behave(Behaviour::Stream);
    }

    std::array<TestBackend *, 4> all() { return { &m_first, &m_second, &m_third, &m_fourth }; }

    void setVersions(const std::string &one, const std::string &other)
    {
        for (TestBackend *backend : { &m_first, &m_third })
            backend->setVersion(one);
        for (TestBackend *backend : { &m_second, &m_fourth })
            backend->setVersion(other);
    }

    void publishAll(const std::string &config = GatewayTestConfig) { publishAll(config, m_store); }
    void publishAll(const std::string &config, platform::StandinStore &store)
    {
        store.put({ "op", "", "config" }, config);
        for (TestBackend *backend : all())
            store.put({ "servers", "", backend->id() }, backend->entry());
    }
    void list(const TestBackend &backend)
    {
        m_store.put({ "servers", "", backend.id() }, backend.entry());
    }

    std::unique_ptr<KillableGateway> startKillable(const std::string &name, Instance &instance)
    {
        return startKillable(name, instance, m_store);
    }
    std::unique_ptr<KillableGateway> startKillable(const std::string &name, Instance &instance,
                                                   const platform::StandinStore &store)
    {
        instance.settings = settingsOf(name);
        instance.settings.firstStart = false;
        instance.settings.store = store.endpoint();
        instance.settings.duties = store.endpoint();
        instance.settings.callers = { "127.0.0.1", freePort() };
        instance.settings.readiness = { "127.0.0.1", freePort() };
        instance.settings.peerPort = freePort();
        instance.settings.forwardPort = freePort();
        instance.settings.metricsPort = freePort();
        instance.callers = instance.settings.callers;
        instance.metrics = { "127.0.0.1", instance.settings.metricsPort };
        return std::make_unique<KillableGateway>(instance.settings);
    }

    std::size_t countRuns()
    {
        std::size_t runs = 0;
        for (const TestBackend *backend : all())
            runs += backend->ran().size();
        return runs;
    }

    Task<StreamPart> call(wire::Endpoint address, const StreamCall &call)
    {
        StreamPart part;
        part.attempt =
            call.attempt.empty() ? "attempt-" + std::to_string(++m_attempts) : call.attempt;
        wire::HttpRequest request;
        request.method = "POST";
        request.target = call.target;
        // Requests without an answer that are alike go to the same server.
        request.body = "body of " + part.attempt + std::to_string(m_attempts);
        request.fields.set("Host", "a.example");
        request.fields.set("X-Attempt-Id", part.attempt);
        request.fields.set("X-Deadline-Ms", "5000");
        request.fields.set("Authorization", "Bearer " + call.key);
        if (call.after)
            request.fields.set("Last-Event-Id", std::to_string(*call.after));
        if (call.resumes)
            request.fields.set("Resumes", *call.resumes);
        auto stream = co_await m_client.open(std::move(address), std::move(request));
        if (!stream)
            co_return part;
        part.status = static_cast<unsigned>((*stream)->head().status);
        part.hasRetryAfter = (*stream)->head().fields.find("Retry-After").has_value();
        part.hasOrigin = (*stream)->head().fields.find("Snipestall-Stream-Version").has_value();
        co_await readEvents(**stream, call, part);
        co_return part;
    }

    static Task<void> readEvents(wire::HttpStream &stream, const StreamCall &call, StreamPart &part)
    {
        wire::EventStreamParser parser;
        int events = 0;
        while (call.events == 0 || events < call.events) {
            auto bytes = co_await stream.read();
            if (!bytes)
                co_return;
            if (!bytes->has_value()) {
                part.complete = true;
                co_return;
            }
            for (const wire::StreamEvent &event : parser.feed(**bytes)) {
                ++events;
                part.last = std::stoi(event.id);
                part.versions.insert(event.data);
            }
        }
    }

    /// Begins streams until both versions have begun one, at most for some seconds.
    Task<void> untilBothVersionsBegin(wire::Endpoint address)
    {
        std::set<std::string> seen;
        const auto until = std::chrono::steady_clock::now() + 10s;
        while (seen.size() < 2 && std::chrono::steady_clock::now() < until) {
            const StreamPart part = co_await call(address, m_fresh);
            seen.insert(part.versions.begin(), part.versions.end());
            co_await wire::sleepFor(10ms);
        }
        EXPECT_EQ(seen.size(), 2U);
    }

    /// Begins streams that their callers leave.
    Task<std::vector<StreamPart>> begin(wire::Endpoint address)
    {
        std::vector<StreamPart> parts;
        for (int i = 0; i < Streams; ++i) {
            StreamPart part = co_await call(address, m_fresh);
            if (part.last > 0)
                parts.push_back(std::move(part));
        }
        EXPECT_EQ(parts.size(), static_cast<std::size_t>(Streams));
        co_return parts;
    }

    /// Takes a stream up.
    Task<StreamPart> resume(const StreamPart &begun, wire::Endpoint address)
    {
        StreamCall rest;
        rest.after = begun.last;
        rest.resumes = begun.attempt;
        co_return co_await call(std::move(address), rest);
    }

    /// Takes all streams up and checks that none goes on at another version. Returns the part that
    /// goes on; the others have to be refused as not run.
    Task<double> resumeAll(const std::vector<StreamPart> &begun, wire::Endpoint address)
    {
        int continued = 0;
        for (const StreamPart &first : begun) {
            const StreamPart rest = co_await resume(first, address);
            if (rest.status == 200 && rest.last > first.last) {
                ++continued;
                EXPECT_EQ(rest.versions, first.versions) << first.attempt;
                continue;
            }
            EXPECT_EQ(rest.status, 503U);
            EXPECT_TRUE(rest.hasRetryAfter);
        }
        co_return static_cast<double>(continued) / static_cast<double>(begun.size());
    }

    /// Begins a new stream, whose caller leaves after a few events.
    const StreamCall m_fresh;
    /// Store of instances that are killed all at once, which knows nothing of `m_gateway`.
    platform::StandinStore m_apart { m_io };
    TestBackend m_third { m_io, "i-3" };
    TestBackend m_fourth { m_io, "i-4" };
};

// Guards against an answer whose first events one software version wrote and whose rest another
// version wrote, after the server that began it has broken off.
TEST_F(StreamOriginTest, ABrokenAnswerGoesOnAtTheVersionThatBeganIt)
{
    publishAll();
    run([this]() -> Task<void> {
        co_await untilServing(m_metrics, 4);
        co_await untilBothVersionsBegin(m_callers);
        for (TestBackend *backend : all()) {
            backend->behave(Behaviour::CrashAfterEvents);
            backend->behaveWhenResumed(Behaviour::StreamRest);
        }
        int complete = 0;
        for (int i = 0; i < StreamsWithinBudget; ++i) {
            StreamCall whole;
            whole.events = 0;
            const StreamPart part = co_await call(m_callers, whole);
            EXPECT_LE(part.versions.size(), 1U);
            EXPECT_EQ(part.complete, part.last == TestBackend::AllEvents);
            complete += part.complete ? 1 : 0;
        }
        EXPECT_GE(complete, StreamsWithinBudget * MinContinued);
    });
}

// Guards against an answer of two versions, and against one that ends as complete without its last
// events, when no other server of the version that began it is left.
TEST_F(StreamOriginTest, ABrokenAnswerEndsWithItsVersion)
{
    m_store.put({ "op", "", "config" }, GatewayTestConfig);
    list(m_first);
    list(m_second);
    run([this]() -> Task<void> {
        co_await untilServing(m_metrics, 2);
        co_await untilBothVersionsBegin(m_callers);
        for (TestBackend *backend : { &m_first, &m_second }) {
            backend->behave(Behaviour::CrashAfterEvents);
            backend->behaveWhenResumed(Behaviour::StreamRest);
        }
        for (int i = 0; i < StreamsWithinBudget; ++i) {
            StreamCall whole;
            whole.events = 0;
            const StreamPart part = co_await call(m_callers, whole);
            EXPECT_FALSE(part.complete);
            EXPECT_EQ(part.last, TestBackend::EventsBeforeCrash);
            EXPECT_EQ(part.versions.size(), 1U);
        }
    });
}

// Guards against a stream whose rest a server of another version writes when its caller takes it up
// at the same instance.
TEST_F(StreamOriginTest, AStreamTakenUpAtTheSameInstanceGoesOnAtItsVersion)
{
    publishAll();
    run([this]() -> Task<void> {
        co_await untilServing(m_metrics, 4);
        co_await untilBothVersionsBegin(m_callers);
        const auto begun = co_await begin(m_callers);
        EXPECT_GE(co_await resumeAll(begun, m_callers), MinContinued);
    });
}

// Guards against a stream whose rest a server of another version writes when its caller takes it up
// at an instance that did not begin it, or more than once.
TEST_F(StreamOriginTest, AStreamTakenUpAtAnotherInstanceGoesOnAtItsVersion)
{
    publishAll();
    const Instance other = startInstance(settingsOf("edge-2"));
    run([this, &other]() -> Task<void> {
        co_await untilServing(m_metrics, 4);
        co_await untilServing(other.metrics, 4);
        co_await untilBothVersionsBegin(m_callers);
        const auto begun = co_await begin(m_callers);
        EXPECT_GE(co_await resumeAll(begun, other.callers), MinContinued);
        EXPECT_GE(co_await resumeAll(begun, m_callers), MinContinued);
    });
}

// Guards against a stream of two versions whose first instance has been killed, and against losing
// all streams of a killed instance.
TEST_F(StreamOriginTest, AStreamOfAKilledInstanceGoesOnAtItsVersion)
{
    publishAll();
    Instance killed;
    const auto gateway = startKillable("edge-2", killed);
    run([this, &killed, &gateway]() -> Task<void> {
        co_await untilServing(m_metrics, 4);
        co_await untilServing(killed.metrics, 4);
        co_await untilBothVersionsBegin(killed.callers);
        const auto begun = co_await begin(killed.callers);
        co_await wire::sleepFor(ReportTime);
        gateway->kill();
        EXPECT_GE(co_await resumeAll(begun, m_callers), MinContinued);
    });
}

// Guards against a stream of two versions, and against the loss of most streams, when an instance
// starts again that had heard of them.
TEST_F(StreamOriginTest, AnInstanceThatHasJustStartedAsksTheOthers)
{
    publishAll();
    Instance killed;
    auto gateway = startKillable("edge-2", killed);
    Instance restarted;
    run([this, &killed, &restarted, &gateway]() -> Task<void> {
        co_await untilServing(m_metrics, 4);
        co_await untilServing(killed.metrics, 4);
        co_await untilBothVersionsBegin(killed.callers);
        const auto begun = co_await begin(killed.callers);
        co_await wire::sleepFor(ReportTime);
        gateway->kill();
        gateway = startKillable("edge-2", restarted);
        co_await untilServing(restarted.metrics, 4);
        EXPECT_GE(co_await resumeAll(begun, restarted.callers), MinContinued);
    });
}

// Guards against a guess: nobody knows which version began the stream, since all instances have
// been killed.
TEST_F(StreamOriginTest, AStreamOfUnknownOriginIsRefusedAsNotRun)
{
    publishAll();
    run([this]() -> Task<void> {
        co_await untilServing(m_metrics, 4);
        co_await untilBothVersionsBegin(m_callers);
        const std::size_t ran = countRuns();
        StreamCall unknown;
        unknown.after = TestBackend::EventsBeforeCrash;
        for (const char *resumes : { "attempt-of-nobody", "" }) {
            unknown.resumes = resumes;
            const StreamPart part = co_await call(m_callers, unknown);
            EXPECT_EQ(part.status, 503U);
            EXPECT_TRUE(part.hasRetryAfter);
        }
        unknown.resumes.reset();
        const StreamPart part = co_await call(m_callers, unknown);
        EXPECT_EQ(part.status, 503U);
        EXPECT_EQ(countRuns(), ran);
    });
}

// Guards against callers that learn from, or change, what is known of the streams of others.
TEST_F(StreamOriginTest, AStreamOfAnotherCustomerIsUnknown)
{
    std::string config = GatewayTestConfig;
    boost::algorithm::replace_first(config, R"("tenants":[)",
                                    R"("tenants":[{"name":"dock","apiKeys":["other"]},)");
    publishAll(config);
    run([this]() -> Task<void> {
        co_await untilServing(m_metrics, 4);
        co_await untilBothVersionsBegin(m_callers);
        const StreamPart begun = co_await call(m_callers, m_fresh);
        StreamCall forged;
        forged.key = "other";
        forged.after = begun.last;
        forged.resumes = begun.attempt;
        const StreamPart part = co_await call(m_callers, forged);
        EXPECT_EQ(part.status, 503U);
        const StreamPart rest = co_await resume(begun, m_callers);
        EXPECT_EQ(rest.versions, begun.versions);
    });
}

// Guards against a stream of two versions whose caller uses one id for two streams.
TEST_F(StreamOriginTest, AnIdThatBeganTwoStreamsIsUnknown)
{
    publishAll();
    run([this]() -> Task<void> {
        co_await untilServing(m_metrics, 4);
        co_await untilBothVersionsBegin(m_callers);
        std::set<std::string> versions;
        StreamPart last;
        StreamCall reused;
        reused.attempt = "attempt-used-again";
        while (versions.size() < 2) {
            last = co_await call(m_callers, reused);
            versions.insert(last.versions.begin(), last.versions.end());
            ++m_attempts;
        }
        const StreamPart rest = co_await resume(last, m_callers);
        EXPECT_EQ(rest.status, 503U);
    });
}

TEST_F(StreamOriginTest, AnUnreadableResumeIsBadInput)
{
    publishAll();
    run([this]() -> Task<void> {
        co_await untilServing(m_metrics, 4);
        StreamCall faulty;
        faulty.after = 3;
        faulty.resumes = std::string(5000, 'a');
        const StreamPart part = co_await call(m_callers, faulty);
        EXPECT_EQ(part.status, 400U);
        StreamCall negative;
        negative.after = -3;
        negative.resumes = "attempt-1";
        const StreamPart other = co_await call(m_callers, negative);
        EXPECT_EQ(other.status, 400U);
    });
}

// Guards against the loss of streams that could only have been begun by one version, after a kill
// of all instances.
TEST_F(StreamOriginTest, WithOneVersionStreamsSurviveAKillOfAllInstances)
{
    setVersions("v1", "v1");
    publishAll(GatewayTestConfig, m_apart);
    Instance killed;
    auto gateway = startKillable("edge-2", killed, m_apart);
    Instance restarted;
    run([this, &killed, &restarted, &gateway]() -> Task<void> {
        co_await untilServing(killed.metrics, 4);
        const auto begun = co_await begin(killed.callers);
        gateway->kill();
        gateway = startKillable("edge-2", restarted, m_apart);
        co_await untilServing(restarted.metrics, 4);
        EXPECT_GE(co_await resumeAll(begun, restarted.callers), MinContinued);
    });
}

// Guards against a guess after a kill of all instances: a second version has begun streams, and its
// servers are gone.
TEST_F(StreamOriginTest, AVersionThatHasLeftStillCountsAfterAKillOfAllInstances)
{
    publishAll(GatewayTestConfig, m_apart);
    Instance killed;
    auto gateway = startKillable("edge-2", killed, m_apart);
    Instance restarted;
    run([this, &killed, &restarted, &gateway]() -> Task<void> {
        co_await untilServing(killed.metrics, 4);
        co_await untilBothVersionsBegin(killed.callers);
        const auto begun = co_await begin(killed.callers);
        gateway->kill();
        for (const TestBackend *backend : { &m_second, &m_fourth })
            m_apart.remove({ "servers", "", backend->id() });
        gateway = startKillable("edge-2", restarted, m_apart);
        co_await untilServing(restarted.metrics, 2);
        EXPECT_EQ(co_await resumeAll(begun, restarted.callers), 0);
    });
}

// Guards against streams of a version that other instances can't know of yet.
TEST_F(StreamOriginTest, AVersionBeginsNoStreamBeforeItIsRegistered)
{
    m_store.put({ "op", "", "config" }, GatewayTestConfig);
    list(m_first);
    run([this]() -> Task<void> {
        co_await untilServing(m_metrics, 1);
        m_store.refuseWrites(true);
        list(m_second);
        co_await untilMetric(m_metrics, "snipestall_gateway_servers", 2);
        co_await wire::sleepFor(RegisterTime);
        for (const StreamPart &part : co_await begin(m_callers))
            EXPECT_EQ(part.versions, std::set<std::string> { "v1" });
        m_store.refuseWrites(false);
        co_await untilBothVersionsBegin(m_callers);
    });
}

// Guards against a stream of one service that goes on at another service of its route.
TEST_F(StreamOriginTest, AStreamGoesOnAtItsServiceOfTwo)
{
    std::string config = GatewayTestConfig;
    const std::string again = R"("service":"ledger","maxAttempts":2,"streamResume":true)";
    boost::algorithm::replace_first(
        config, again,
        R"("trafficSplit":[{"service":"ledger","weight":1},{"service":"journal","weight":1}],)"
        R"("maxAttempts":2,"streamResume":true)");
    boost::algorithm::replace_first(config, R"("services":[)",
                                    R"("services":[{"name":"journal"},)");
    setVersions("v1", "v1");
    for (TestBackend *backend : { &m_second, &m_fourth }) {
        backend->setService("journal");
        backend->setVersion("journal-v1");
    }
    publishAll(config);
    run([this]() -> Task<void> {
        co_await untilServing(m_metrics, 4);
        co_await untilBothVersionsBegin(m_callers);
        const auto begun = co_await begin(m_callers);
        EXPECT_GE(co_await resumeAll(begun, m_callers), MinContinued);
    });
}

// Guards against a stream whose memory is moved to a server of another version when its own is
// reclaimed.
TEST_F(StreamOriginTest, AStreamIsMovedToAServerOfItsVersion)
{
    publishAll();
    run([this]() -> Task<void> {
        co_await untilServing(m_metrics, 4);
        bool ended = false;
        boost::asio::co_spawn(
            m_io,
            [this, &ended]() -> Task<void> {
                StreamCall whole;
                whole.target = "/solo/x";
                whole.events = 0;
                const StreamPart part = co_await call(m_callers, whole);
                EXPECT_TRUE(part.complete);
                EXPECT_EQ(part.versions.size(), 1U);
                ended = true;
            },
            boost::asio::detached);
        const auto backends = all();
        const auto running = [&backends] {
            return std::ranges::find_if(
                backends, [](const TestBackend *backend) { return backend->events() > 5; });
        };
        while (running() == backends.end())
            co_await wire::sleepFor(1ms);
        const TestBackend &source = **running();
        m_store.put({ "servers", "", source.id() }, source.entry(R"("draining","leaves_ms":600)"));
        while (!ended)
            co_await wire::sleepFor(5ms);
        EXPECT_EQ(source.moves().size(), 1U);
    });
}

class ForwardedStreamTest : public WithCutInstance<StreamOriginTest>
{
protected:
    ForwardedStreamTest()
    {
        publishAll();
        startCut({ &m_first, &m_second, &m_third, &m_fourth });
    }

    /// Cuts one instance off when both instances serve, and waits until it forwards its requests.
    Task<void> untilForwarding()
    {
        co_await untilServing(m_metrics, 4);
        co_await untilServing(m_cut.metrics, 4);
        co_await wire::sleepFor(RegisterTime);
        cut(TestLink::Cut::Refuse);
        const std::string line = "snipestall_gateway_cut_off 1";
        bool forwards = false;
        while (!forwards) {
            co_await call(m_cut.callers, m_fresh);
            co_await wire::sleepFor(5ms);
            forwards = co_await hasMetric(line);
        }
    }
};

// Guards against a stream of two versions whose instance reaches no server, so that others serve
// it: begun or taken up through another instance.
TEST_F(ForwardedStreamTest, AForwardedStreamGoesOnAtItsVersion)
{
    run([this]() -> Task<void> {
        co_await untilForwarding();
        co_await untilBothVersionsBegin(m_cut.callers);
        const auto begun = co_await begin(m_cut.callers);
        EXPECT_GE(co_await resumeAll(begun, m_cut.callers), MinContinued);
        EXPECT_GE(co_await resumeAll(begun, m_callers), MinContinued);
        const auto local = co_await begin(m_callers);
        co_await wire::sleepFor(ReportTime);
        EXPECT_GE(co_await resumeAll(local, m_cut.callers), MinContinued);
    });
}

// Guards against a server's failure that is replaced by one of the instance, because it does not
// say which version wrote it.
TEST_F(ForwardedStreamTest, AFailureOfTheRestIsPassedOn)
{
    run([this]() -> Task<void> {
        co_await untilForwarding();
        const StreamPart begun = co_await call(m_cut.callers, m_fresh);
        for (TestBackend *backend : all())
            backend->behaveWhenResumed(Behaviour::Fail);
        const StreamPart rest = co_await resume(begun, m_cut.callers);
        EXPECT_EQ(rest.status, 500U);
    });
}

// Guards against servers and callers that see what instances tell each other of a stream.
TEST_F(ForwardedStreamTest, TheOriginStaysBetweenInstances)
{
    run([this]() -> Task<void> {
        co_await untilForwarding();
        const StreamPart begun = co_await call(m_cut.callers, m_fresh);
        EXPECT_FALSE(begun.hasOrigin);
        co_await resume(begun, m_cut.callers);
        for (const TestBackend *backend : all()) {
            for (const wire::HttpRequest &request : backend->ran())
                EXPECT_FALSE(request.fields.find("Snipestall-Stream-Version"));
        }
    });
}

} // namespace
} // namespace snipestall::gateway
