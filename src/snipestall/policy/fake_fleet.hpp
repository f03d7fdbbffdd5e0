#pragma once

#include "snipestall/policy/world.hpp"
#include "snipestall/settings/effective_settings.hpp"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace snipestall::policy {

/// Test fake of everything around a World: backend servers that answer after some time, and a
/// record of each request's outcome. Runs on virtual time.
class FakeFleet
{
public:
    struct Backend
    {
        std::uint32_t slots = 0;
        Duration prompt = std::chrono::milliseconds(50);
        Duration perToken = std::chrono::milliseconds(20);
        /// Fraction by which each other request running on the server slows down a token.
        double crowding = 0;
        /// How attempts on this server end.
        AttemptResult result = AttemptResult::Completed;
        /// The server answers nothing and keeps its connections open.
        bool frozen = false;
        bool leaving = false;
        bool gone = false;
        std::set<std::uint64_t> running;
        std::uint32_t peak = 0;
        std::uint32_t dispatched = 0;
    };

    struct Outcome
    {
        RequestArrived request;
        Time arrived;
        std::optional<Time> firstToken;
        std::optional<Time> completed;
        std::optional<Refuse> refused;
        std::vector<Dispatch> dispatches;
        std::vector<MoveStream> moves;
        std::vector<ForwardTo> forwards;
        /// Requests that ran on the same server at the same time.
        std::vector<std::uint64_t> beside;
        int ends = 0;
        std::uint32_t produced = 0;
        /// Tokens that a server processed a second time.
        std::uint32_t recomputed = 0;
        /// An attempt broke after it was sent.
        bool cut = false;
        int sentAgainAfterCut = 0;

        [[nodiscard]] Duration wait() const { return *firstToken - arrived; }
    };

    explicit FakeFleet(std::uint64_t seed = 1)
        : world(World::create("samsun-hall", seed))
        , settings(std::make_shared<settings::EffectiveSettings>())
    {
        settings->dataCentre = "samsun-hall";
        addService("airtime");
    }

    settings::ServiceSettings &addService(const std::string &name)
    {
        settings->services.emplace_back().service = name;
        return settings->services.back();
    }

    settings::LeafSettings &addCustomer(const std::string &name)
    {
        settings::LeafSettings &leaf = settings->leaves.emplace_back();
        leaf.customer = name;
        leaf.service = "airtime";
        leaf.requestsPerSecond = 1e6;
        leaf.tokensPerSecond = 1e9;
        leaf.concurrency = 100000;
        return leaf;
    }

    void start() { give(SettingsChanged { settings }); }

    ServerHandle addServer(std::uint32_t slots, const std::string &instanceClass = "spot")
    {
        const ServerHandle handle { ++m_lastServer };
        servers[handle.value].slots = slots;
        give(ServerUp { handle, "airtime", "samsun-hall", instanceClass, slots, {} });
        return handle;
    }

    /// Ends the server without notice, and with it every attempt that runs there.
    void kill(ServerHandle handle)
    {
        Backend &backend = servers[handle.value];
        backend.gone = true;
        const std::set<std::uint64_t> lost = backend.running;
        std::vector<Event> events { ServerGone { handle } };
        for (const std::uint64_t attempt : lost) {
            const RequestHandle request = m_attempts.at(attempt).request;
            endAttempt(attempt);
            events.push_back(AttemptEnded { request, { attempt }, AttemptResult::ServerDied, {} });
        }
        give(std::move(events));
    }

    void leave(ServerHandle handle, Duration notice)
    {
        servers[handle.value].leaving = true;
        give(ServerLeaving { handle, notice });
    }

    /// Gives notice to the server and ends it when the notice runs out.
    void reclaim(ServerHandle handle, Duration notice)
    {
        leave(handle, notice);
        m_reclaims.emplace(now + notice, handle);
    }

    RequestArrived request(const std::string &customer, Urgency urgency = Urgency::Normal)
    {
        RequestArrived event;
        event.request = { ++m_lastRequest };
        event.customer = customer;
        event.service = "airtime";
        event.urgency = urgency;
        event.promptTokens = 100;
        event.maxTokens = 100;
        event.deadline = now + std::chrono::seconds(60);
        return event;
    }

    RequestHandle send(const RequestArrived &event)
    {
        Outcome &outcome = outcomes[event.request.value];
        outcome.request = event;
        outcome.arrived = now;
        give(event);
        return event.request;
    }

    /// Steps the world at the present time with these events and executes its commands.
    void give(Event event) { give(std::vector<Event> { std::move(event) }); }

    void give(const std::vector<Event> &events)
    {
        last.clear();
        world->step(now, events, last);
        const std::vector<Command> commands = last;
        log.insert(log.end(), commands.begin(), commands.end());
        for (const Command &command : commands)
            std::visit([this](const auto &c) { execute(c); }, command);
    }

    /// Advances virtual time to `until`.
    void runUntil(Time until)
    {
        while (true) {
            const std::optional<Time> wake = world->nextWake();
            const Time due = m_due.empty() ? Time::max() : m_due.begin()->first.first;
            const Time reclaim = m_reclaims.empty() ? Time::max() : m_reclaims.begin()->first;
            const Time first = std::min({ due, reclaim, wake.value_or(Time::max()) });
            const Time next = std::max(now, first);
            if (next > until)
                break;
            now = next;
            stepAtNow();
        }
        now = until;
    }

    void runFor(Duration duration) { runUntil(now + duration); }

    /// Sends `perSecond` evenly spaced requests per second for `duration`.
    template<typename MakeRequest>
    void load(int perSecond, Duration duration, MakeRequest make)
    {
        const Time start = now;
        const Duration gap = Duration(std::chrono::seconds(1)) / perSecond;
        for (Time at = start; at < start + duration; at += gap) {
            runUntil(at);
            send(make());
        }
    }

    template<typename Predicate>
    [[nodiscard]] int count(Predicate predicate) const
    {
        const auto matches = [&](const auto &entry) { return predicate(entry.second); };
        return static_cast<int>(std::count_if(outcomes.begin(), outcomes.end(), matches));
    }

    [[nodiscard]] Outcome &of(RequestHandle request) { return outcomes.at(request.value); }

    std::unique_ptr<World> world;
    std::shared_ptr<settings::EffectiveSettings> settings;
    Time now { std::chrono::seconds(1000) };
    std::map<std::uint64_t, Backend> servers;
    std::map<std::uint64_t, Outcome> outcomes;
    /// Commands of the last step, and of all steps.
    std::vector<Command> last;
    std::vector<Command> log;
    /// Descriptions of violated invariants.
    std::vector<std::string> faults;
    /// Requests that crash the server that runs them, `crashAfter` after their dispatch.
    std::set<std::uint64_t> crashers;
    Duration crashAfter = std::chrono::milliseconds(30);
    /// Peers decline every forwarded request; when false, the test answers for them.
    bool peersDecline = false;

private:
    struct Attempt
    {
        RequestHandle request;
        ServerHandle server;
    };

    /// A scheduled step of an attempt: tokens, its end or a crash of its server.
    struct ScheduledStep
    {
        std::uint64_t attempt = 0;
        std::uint32_t tokens = 0;
        bool end = false;
        bool crash = false;
    };

    void stepAtNow()
    {
        if (!m_reclaims.empty() && m_reclaims.begin()->first <= now) {
            const ServerHandle server = m_reclaims.begin()->second;
            m_reclaims.erase(m_reclaims.begin());
            kill(server);
            return;
        }
        if (m_due.empty() || m_due.begin()->first.first > now) {
            give(std::vector<Event> {});
            return;
        }
        const ScheduledStep due = m_due.begin()->second;
        m_due.erase(m_due.begin());
        if (m_attempts.contains(due.attempt))
            process(due);
    }

    void process(const ScheduledStep &due)
    {
        const Attempt attempt = m_attempts.at(due.attempt);
        if (servers[attempt.server.value].frozen)
            return;
        Outcome &outcome = of(attempt.request);
        if (due.crash) {
            kill(attempt.server);
        } else if (due.end) {
            const bool atPeer = attempt.server == ServerHandle {};
            const Backend &backend = servers[attempt.server.value];
            end(due.attempt, atPeer ? AttemptResult::Declined : backend.result);
        } else {
            if (!outcome.firstToken)
                outcome.firstToken = now;
            outcome.produced += due.tokens;
            give(TokensProduced { attempt.request, { due.attempt }, due.tokens });
        }
    }

    void end(std::uint64_t attempt, AttemptResult result)
    {
        const RequestHandle request = m_attempts.at(attempt).request;
        endAttempt(attempt);
        of(request).cut = of(request).cut || result == AttemptResult::ConnectionLost;
        if (result == AttemptResult::Completed) {
            of(request).completed = now;
            ++of(request).ends;
        }
        give(AttemptEnded { request, { attempt }, result, {} });
    }

    void endAttempt(std::uint64_t attempt)
    {
        const auto it = m_attempts.find(attempt);
        if (it == m_attempts.end())
            return;
        servers[it->second.server.value].running.erase(attempt);
        m_attempts.erase(it);
    }

    void runOn(RequestHandle request, AttemptHandle attempt, ServerHandle server)
    {
        Backend &backend = servers[server.value];
        Outcome &outcome = of(request);
        outcome.sentAgainAfterCut += outcome.cut ? 1 : 0;
        if (backend.leaving || backend.gone)
            faults.push_back("work for a leaving server");
        if (backend.running.size() >= backend.slots)
            faults.push_back("slot overfilled");
        for (const std::uint64_t other : backend.running) {
            const RequestHandle neighbour = m_attempts.at(other).request;
            outcome.beside.push_back(neighbour.value);
            of(neighbour).beside.push_back(request.value);
        }
        backend.running.insert(attempt.value);
        backend.peak = std::max(backend.peak, static_cast<std::uint32_t>(backend.running.size()));
        ++backend.dispatched;
        m_attempts[attempt.value] = { request, server };
        schedule(backend, outcome, attempt, crashers.contains(request.value));
    }

    void schedule(const Backend &backend, const Outcome &outcome, AttemptHandle attempt,
                  bool crashes)
    {
        if (crashes)
            add(now + crashAfter, { attempt.value, 0, false, true });
        if (backend.result != AttemptResult::Completed) {
            add(now + std::chrono::milliseconds(2), { attempt.value, 0, true, false });
            return;
        }
        const std::uint32_t tokens = outcome.request.maxTokens - outcome.produced;
        const std::uint32_t parts = 10;
        const double slowdown =
            1.0 + backend.crowding * static_cast<double>(backend.running.size() - 1);
        const auto perToken = std::chrono::duration_cast<Duration>(slowdown * backend.perToken);
        Time at = now + backend.prompt;
        std::uint32_t left = tokens;
        for (std::uint32_t part = parts; part > 0 && left > 0; --part) {
            const std::uint32_t count = (left + part - 1) / part;
            add(at, { attempt.value, count, false, false });
            at += perToken * count;
            left -= count;
        }
        add(at, { attempt.value, 0, true, false });
    }

    void add(Time at, ScheduledStep due) { m_due.emplace(std::pair(at, ++m_lastDue), due); }

    static void countRecomputed(Outcome &outcome)
    {
        outcome.recomputed += outcome.request.promptTokens + outcome.produced;
    }

    void execute(const Dispatch &command)
    {
        Outcome &outcome = of(command.request);
        if (!outcome.dispatches.empty())
            countRecomputed(outcome);
        outcome.dispatches.push_back(command);
        runOn(command.request, command.attempt, command.server);
    }

    void execute(const MoveStream &command)
    {
        of(command.request).moves.push_back(command);
        endAttempt(command.from.value);
        if (command.method == MoveMethod::Resume)
            countRecomputed(of(command.request));
        runOn(command.request, command.attempt, command.target);
    }

    void execute(const ForwardTo &command)
    {
        of(command.request).forwards.push_back(command);
        if (!peersDecline)
            return;
        m_attempts[command.attempt.value] = { command.request, {} };
        add(now + std::chrono::milliseconds(2), { command.attempt.value, 0, true, false });
    }

    void execute(const Refuse &command)
    {
        of(command.request).refused = command;
        ++of(command.request).ends;
    }

    void execute(const CancelAttempt &command) { endAttempt(command.attempt.value); }
    void execute(const StartInstance &) { }
    void execute(const ReleaseInstance &) { }

    std::map<std::uint64_t, Attempt> m_attempts;
    std::map<std::pair<Time, std::uint64_t>, ScheduledStep> m_due;
    std::multimap<Time, ServerHandle> m_reclaims;
    std::uint64_t m_lastServer = 0;
    std::uint64_t m_lastRequest = 0;
    std::uint64_t m_lastDue = 0;
};

} // namespace snipestall::policy
