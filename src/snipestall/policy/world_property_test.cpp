#include "snipestall/policy/fake_fleet.hpp"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <string>
#include <vector>

namespace snipestall::policy {
namespace {

using namespace std::chrono_literals;

enum class ActionKind {
    Send,
    SendAccepted,
    SendOnce,
    Cancel,
    AddServer,
    Kill,
    Notice,
    Decline,
    Wait,
    PeerSummary,
    Count,
};

struct Action
{
    ActionKind kind = ActionKind::Wait;
    std::uint32_t value = 0;
};

std::ostream &operator<<(std::ostream &stream, const Action &action)
{
    return stream << static_cast<int>(action.kind) << ':' << action.value;
}

rc::Gen<std::vector<Action>> actions()
{
    const auto kinds = rc::gen::inRange(0, static_cast<int>(ActionKind::Count));
    const auto kind = rc::gen::map(kinds, [](int k) { return static_cast<ActionKind>(k); });
    const auto value = rc::gen::inRange<std::uint32_t>(0, 1000);
    return rc::gen::container<std::vector<Action>>(rc::gen::construct<Action>(kind, value));
}

/// Performs actions against a World; the same actions always give the same run.
class ActionRunner
{
public:
    ActionRunner()
    {
        m_fleet.addCustomer("ferries");
        m_fleet.addCustomer("cargo").concurrency = 5;
        m_fleet.start();
        m_fleet.peersDecline = true;
        m_fleet.addServer(3);
        m_fleet.addServer(2, "demand");
    }

    FakeFleet &run(const std::vector<Action> &actions)
    {
        for (const Action &action : actions)
            perform(action);
        m_fleet.runFor(300s);
        return m_fleet;
    }

private:
    void perform(const Action &action)
    {
        switch (action.kind) {
        case ActionKind::Send:
            send(action.value, true, false);
            break;
        case ActionKind::SendAccepted:
            send(action.value, true, true);
            break;
        case ActionKind::SendOnce:
            send(action.value, false, false);
            break;
        case ActionKind::Cancel:
            cancel(action.value);
            break;
        case ActionKind::AddServer:
            m_fleet.addServer(1 + action.value % 4, action.value % 2 == 0 ? "spot" : "demand");
            break;
        case ActionKind::Kill:
            if (FakeFleet::Backend *backend = pick(action.value))
                m_fleet.kill({ handleOf(*backend) });
            break;
        case ActionKind::Notice:
            if (FakeFleet::Backend *backend = pick(action.value))
                m_fleet.leave({ handleOf(*backend) }, std::chrono::milliseconds(action.value * 5));
            break;
        case ActionKind::Decline:
            if (FakeFleet::Backend *backend = pick(action.value))
                backend->result = resultFor(action.value);
            break;
        case ActionKind::PeerSummary:
            summary(action.value);
            break;
        case ActionKind::Wait:
        case ActionKind::Count:
            m_fleet.runFor(std::chrono::milliseconds(action.value));
            break;
        }
    }

    void send(std::uint32_t value, bool idempotent, bool accepted)
    {
        const std::string customer = value % 3 == 0 ? "cargo" : "ferries";
        RequestArrived event = m_fleet.request(customer, static_cast<Urgency>(value % 3));
        event.maxTokens = value;
        event.prefix = { value % 4, 100 + value % 8 };
        event.idempotent = idempotent;
        event.accepted = accepted;
        const RequestHandle request = m_fleet.send(event);
        if (value % 50 == 0)
            m_fleet.crashers.insert(request.value);
    }

    void cancel(std::uint32_t value)
    {
        if (m_fleet.outcomes.empty())
            return;
        const RequestHandle request { 1 + value % m_fleet.outcomes.size() };
        if (m_fleet.of(request).ends > 0)
            return;
        ++m_fleet.of(request).ends;
        m_fleet.give(RequestCancelled { request });
    }

    FakeFleet::Backend *pick(std::uint32_t value)
    {
        auto it = m_fleet.servers.begin();
        std::advance(it, value % m_fleet.servers.size());
        return it->second.gone ? nullptr : &it->second;
    }

    std::uint64_t handleOf(const FakeFleet::Backend &backend)
    {
        for (const auto &[handle, candidate] : m_fleet.servers) {
            if (&candidate == &backend)
                return handle;
        }
        return 0;
    }

    static AttemptResult resultFor(std::uint32_t value)
    {
        constexpr AttemptResult Results[] = { AttemptResult::Completed, AttemptResult::Declined,
                                              AttemptResult::ConnectionLost,
                                              AttemptResult::NotSent };
        return Results[value % std::size(Results)];
    }

    void summary(std::uint32_t value)
    {
        PeerSummary event { { 1 + value % 2 }, "samsun-2", "samsun-hall", {} };
        event.pools.push_back({ "airtime", value % 4, 0, 1, 10ms, {} });
        m_fleet.give(event);
    }

    FakeFleet m_fleet;
};

std::string describe(const Command &command)
{
    struct Writer
    {
        static std::string join(std::uint64_t a, std::uint64_t b, std::uint64_t c)
        {
            return std::to_string(a) + ' ' + std::to_string(b) + ' ' + std::to_string(c);
        }
        std::string operator()(const Dispatch &c) const
        {
            return join(c.request.value, c.attempt.value, c.server.value);
        }
        std::string operator()(const ForwardTo &c) const
        {
            return join(c.request.value, c.attempt.value, c.peer.value);
        }
        std::string operator()(const Refuse &c) const
        {
            const auto wait = static_cast<std::uint64_t>(c.retryAfter.count());
            return std::string(toString(c.reason)) + join(c.request.value, wait, 0);
        }
        std::string operator()(const CancelAttempt &c) const
        {
            return join(c.request.value, c.attempt.value, 0);
        }
        std::string operator()(const MoveStream &c) const
        {
            return join(c.from.value, c.attempt.value, c.target.value);
        }
        std::string operator()(const StartInstance &c) const { return "start " + c.instanceClass; }
        std::string operator()(const ReleaseInstance &c) const
        {
            return "release " + c.instanceClass;
        }
    };
    return std::to_string(command.index()) + ": " + std::visit(Writer {}, command);
}

std::vector<std::string> describe(const std::vector<Command> &commands)
{
    std::vector<std::string> lines;
    lines.reserve(commands.size());
    for (const Command &command : commands)
        lines.push_back(describe(command));
    return lines;
}

RC_GTEST_PROP(WorldProperty, EveryRequestEndsExactlyOnce, ())
{
    ActionRunner play;
    const FakeFleet &fleet = play.run(*actions());
    for (const auto &[handle, outcome] : fleet.outcomes)
        RC_ASSERT(outcome.ends == 1);
}

RC_GTEST_PROP(WorldProperty, NoSlotIsOverfilledAndNoLeavingServerGetsWork, ())
{
    ActionRunner play;
    const FakeFleet &fleet = play.run(*actions());
    RC_ASSERT(fleet.faults == std::vector<std::string> {});
}

RC_GTEST_PROP(WorldProperty, ANonIdempotentRequestThatWasCutIsNotSentAgain, ())
{
    ActionRunner play;
    const FakeFleet &fleet = play.run(*actions());
    for (const auto &[handle, outcome] : fleet.outcomes) {
        if (!outcome.request.idempotent)
            RC_ASSERT(outcome.sentAgainAfterCut == 0);
    }
}

RC_GTEST_PROP(WorldProperty, TheSameEventsGiveTheSameCommands, ())
{
    const std::vector<Action> script = *actions();
    ActionRunner first;
    ActionRunner second;
    const FakeFleet &one = first.run(script);
    const FakeFleet &other = second.run(script);
    RC_ASSERT(describe(one.log) == describe(other.log));
}

} // namespace
} // namespace snipestall::policy
