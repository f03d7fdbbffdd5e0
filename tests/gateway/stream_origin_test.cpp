// Tests of streams that are continued while servers of several software versions serve, over the
// whole path on loopback.

#include "cut_instance.hpp"
#include "stream_origin_fixture.hpp"

#include <boost/algorithm/string/replace.hpp>

#include <algorithm>
#include <chrono>
#include <set>
#include <string>
#include <vector>

namespace snipestall::gateway {
namespace {

using namespace std::chrono_literals;
using Behaviour = TestBackend::Behaviour;
using wire::Task;

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

// Guards against a guess after a kill of all instances: a second version has begun streams, its
// servers are gone, and the store has no records of the streams.
TEST_F(StreamOriginTest, AVersionThatHasLeftStillCountsAfterAKillOfAllInstances)
{
    publishAll(GatewayTestConfig, m_apart);
    Instance killed;
    auto gateway = startKillable("edge-2", killed, m_apart);
    Instance restarted;
    run([this, &killed, &restarted, &gateway]() -> Task<void> {
        co_await untilServing(killed.metrics, 4);
        co_await untilBothVersionsBegin(killed.callers);
        m_apart.refuseWrites(true);
        const auto begun = co_await begin(killed.callers);
        gateway->kill();
        m_apart.refuseWrites(false);
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

// Guards against a stream of a new version that goes on at the old one, because its caller takes it
// up at an instance that was cut off from the store when the new version joined.
TEST_F(StreamOriginTest, AnInstanceThatIsCutOffFromTheStoreMixesNoVersions)
{
    m_store.put({ "op", "", "config" }, GatewayTestConfig);
    for (const TestBackend *backend : { &m_first, &m_third })
        list(*backend);
    TestLink toStore(m_io, m_store.endpoint());
    GatewaySettings settings = settingsOf("edge-2");
    settings.store = toStore.endpoint();
    const Instance cutOff = startInstance(settings);
    run([this, &toStore, &cutOff]() -> Task<void> {
        co_await untilServing(m_metrics, 2);
        co_await untilServing(cutOff.metrics, 2);
        for (const auto kind : { TestLink::Cut::Refuse, TestLink::Cut::Hang }) {
            toStore.cut(kind);
            for (const TestBackend *backend : { &m_second, &m_fourth })
                list(*backend);
            co_await untilBothVersionsBegin(m_callers);
            const auto begun = co_await begin(m_callers);
            for (int i = 0; i < 3; ++i) {
                co_await resumeAll(begun, cutOff.callers);
                co_await wire::sleepFor(300ms);
            }
            toStore.cut(TestLink::Cut::None);
            co_await wire::sleepFor(ReportTime);
            EXPECT_GE(co_await resumeAll(begun, cutOff.callers), MinContinued);
        }
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
