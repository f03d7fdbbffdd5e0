#pragma once

#include "gateway_fixture.hpp"

#include "snipestall/wire/event_stream_parser.hpp"
#include "snipestall/wire/http_stream.hpp"

#include <array>
#include <chrono>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace snipestall::gateway {

inline constexpr int Streams = 40;
/// Streams that may all be sent to a second server, by the limit on repeats in the settings.
inline constexpr int StreamsWithinBudget = 20;
/// Part of the broken streams that has to go on where their origin can be known.
inline constexpr double MinContinued = 0.95;
/// Longer than the reports between instances need.
inline constexpr std::chrono::seconds ReportTime { 1 };
/// Longer than a version needs to be registered and used.
inline constexpr std::chrono::seconds RegisterTime { 2 };

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

    [[nodiscard]] bool isRunning() const { return m_gateway != nullptr; }

    void kill()
    {
        if (!m_thread.joinable())
            return;
        m_io.stop();
        m_thread.join();
        // Suspended tasks refer to the gateway, so they are destroyed before it.
        m_io.destroyTasks();
        m_gateway.reset();
    }

private:
    TestLoop m_io { 1 };
    std::unique_ptr<Gateway> m_gateway;
    std::thread m_thread;
};

/// Servers of two software versions whose streams callers take up.
class StreamOriginTest : public GatewayPathTest
{
protected:
    StreamOriginTest()
    {
        setVersions("v1", "v2");
        for (TestBackend *backend : all())
            backend->behave(TestBackend::Behaviour::Stream);
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
        // Retries because another process may take a port between its choice and its use.
        constexpr int MaxTries = 20;
        std::unique_ptr<KillableGateway> gateway;
        for (int i = 0; i < MaxTries && (!gateway || !gateway->isRunning()); ++i) {
            instance.settings.callers = { "127.0.0.1", freePort() };
            instance.settings.readiness = { "127.0.0.1", freePort() };
            instance.settings.peerPort = freePort();
            instance.settings.forwardPort = freePort();
            instance.settings.metricsPort = freePort();
            gateway = std::make_unique<KillableGateway>(instance.settings);
        }
        instance.callers = instance.settings.callers;
        instance.metrics = { "127.0.0.1", instance.settings.metricsPort };
        return gateway;
    }

    std::size_t countRuns()
    {
        std::size_t runs = 0;
        for (const TestBackend *backend : all())
            runs += backend->ran().size();
        return runs;
    }

    wire::Task<StreamPart> call(wire::Endpoint address, const StreamCall &call)
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

    static wire::Task<void> readEvents(wire::HttpStream &stream, const StreamCall &call,
                                       StreamPart &part)
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
    wire::Task<void> untilBothVersionsBegin(wire::Endpoint address)
    {
        std::set<std::string> seen;
        const auto until = std::chrono::steady_clock::now() + std::chrono::seconds(10);
        while (seen.size() < 2 && std::chrono::steady_clock::now() < until) {
            const StreamPart part = co_await call(address, m_fresh);
            seen.insert(part.versions.begin(), part.versions.end());
            co_await wire::sleepFor(std::chrono::milliseconds(10));
        }
        EXPECT_EQ(seen.size(), 2U);
    }

    /// Begins streams that their callers leave.
    wire::Task<std::vector<StreamPart>> begin(wire::Endpoint address)
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
    wire::Task<StreamPart> resume(const StreamPart &begun, wire::Endpoint address)
    {
        StreamCall rest;
        rest.after = begun.last;
        rest.resumes = begun.attempt;
        co_return co_await call(std::move(address), rest);
    }

    /// Takes all streams up and checks that none goes on at another version. Returns the part that
    /// goes on; the others have to be refused as not run.
    wire::Task<double> resumeAll(const std::vector<StreamPart> &begun, wire::Endpoint address)
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

} // namespace snipestall::gateway
