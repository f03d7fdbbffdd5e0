#pragma once

#include "bench/baselines/baseline_server.hpp"
#include "bench/baselines/server_choice.hpp"

#include "snipestall/policy/decision_maker.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace snipestall::policy::baselines {

/// A plain balancer to measure World against: a request goes at once to the server that the
/// strategy picks and waits in that engine's own FIFO queue. What is declined waits here, first in,
/// first out. Knows no urgency, no fair share and no early refusal; a stream cut off by a reclaim
/// is sent again, as often as MaxAttempts allows.
class Baseline final : public DecisionMaker
{
public:
    static std::unique_ptr<Baseline> create(std::unique_ptr<ServerChoice> choice);

    void step(Time now, std::span<const Event> events, std::vector<Command> &commands) override;
    [[nodiscard]] std::optional<Time> nextWake() const override { return m_wake; }
    [[nodiscard]] std::vector<PoolSummary> summaries(Time now) const override;

private:
    struct Request
    {
        RequestArrived arrived;
        std::uint32_t attempts = 0;
    };

    explicit Baseline(std::unique_ptr<ServerChoice> choice);

    void handle(const RequestArrived &event);
    void handle(const RequestCancelled &event);
    void handle(const AttemptEnded &event);
    void handle(const ServerUp &event);
    void handle(const ServerLeaving &event);
    void handle(const ServerGone &event);
    void handle(const ServerReport &event);
    template<typename Other>
    void handle(const Other &)
    { }

    void refuse(RequestHandle handle, RefusalReason reason);
    void expireWaiting();
    void dispatchWaiting();
    bool dispatch(Request &request);

    std::unique_ptr<ServerChoice> m_choice;
    std::map<ServerHandle, BaselineServer> m_servers;
    std::unordered_map<RequestHandle, Request> m_requests;
    std::map<std::string, std::deque<RequestHandle>> m_queues;
    std::unordered_map<AttemptHandle, RequestHandle> m_running;
    std::uint64_t m_lastAttempt = 0;
    Time m_now {};
    /// Until then a service whose server has declined is left alone.
    std::map<std::string, Time> m_holdUntil;
    std::optional<Time> m_wake;
    std::vector<Command> *m_commands = nullptr;
};

} // namespace snipestall::policy::baselines
