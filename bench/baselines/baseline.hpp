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

/// A simple load balancer with which World is compared. It sends a request at once to the server
/// that its ServerChoice selects, where the request waits in the engine's own FIFO queue. Requests
/// that a server declined and requests without a server wait in a FIFO queue per service. Urgency,
/// fair shares and early refusal are not supported. A failed attempt, such as a stream cut off by a
/// reclaim, is repeated if it did not run or its request is idempotent, as often as MaxAttempts
/// allows.
class Baseline final : public DecisionMaker
{
public:
    static std::unique_ptr<Baseline> create(std::unique_ptr<ServerChoice> choice);

    void step(Time now, std::span<const Event> events, std::vector<Command> &commands) override;
    [[nodiscard]] std::optional<Time> nextWake() const override { return m_nextWake; }
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
    /// For each service, the time until which nothing is dispatched because a server declined a
    /// request.
    std::map<std::string, Time> m_backoffUntil;
    std::optional<Time> m_nextWake;
    std::vector<Command> *m_commands = nullptr;
};

} // namespace snipestall::policy::baselines
