#pragma once

#include "policy/harness/call.hpp"

#include "snipestall/policy/decision_maker.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace snipestall::policy::harness {

class CommandSink;
class VirtualLoop;

/// The attempt, and its instance, that a forwarded request came from.
struct Origin
{
    std::size_t node = 0;
    AttemptHandle attempt;
};

struct NodeRequest
{
    CallIndex call = 0;
    std::optional<Origin> origin {};
    /// Whether an attempt of this instance may have run.
    bool sent = false;
    AttemptResult lastResult = AttemptResult::NotSent;
};

/// An attempt in progress, on a backend server or at a peer.
struct NodeAttempt
{
    RequestHandle request;
    CallIndex call = 0;
    std::optional<std::uint64_t> work {};
    std::optional<std::size_t> peer {};
    RequestHandle peerRequest {};
};

/// One instance: a decision maker, its inbox, and the state that an edge keeps for it.
class EntryNode
{
public:
    EntryNode(std::size_t index, std::string name, std::string dataCentre,
              std::unique_ptr<DecisionMaker> maker, VirtualLoop &loop, CommandSink &sink);

    /// Queues an event; all events of the same moment are passed to the decision maker together.
    void post(Event event);
    RequestHandle addRequest(const NodeRequest &request);

    [[nodiscard]] std::size_t index() const { return m_index; }
    [[nodiscard]] const std::string &name() const { return m_name; }
    [[nodiscard]] const std::string &dataCentre() const { return m_dataCentre; }
    [[nodiscard]] std::vector<PoolSummary> summaries() const;

    std::unordered_map<RequestHandle, NodeRequest> requests;
    std::unordered_map<AttemptHandle, NodeAttempt> attempts;

private:
    void flush();
    void scheduleWake();

    std::size_t m_index;
    std::string m_name;
    std::string m_dataCentre;
    std::unique_ptr<DecisionMaker> m_maker;
    VirtualLoop &m_loop;
    CommandSink &m_sink;
    std::vector<Event> m_inbox;
    std::uint64_t m_lastRequest = 0;
    bool m_flushing = false;
    std::optional<Time> m_wake;
};

} // namespace snipestall::policy::harness
