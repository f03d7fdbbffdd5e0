#include "policy/harness/entry_node.hpp"

#include "policy/harness/command_sink.hpp"
#include "policy/harness/virtual_loop.hpp"

#include <algorithm>
#include <utility>

namespace snipestall::policy::harness {

namespace {

/// Resolution of the timer of an edge.
constexpr Duration TimerStep = std::chrono::milliseconds(1);

} // namespace

EntryNode::EntryNode(std::size_t index, std::string name, std::string dataCentre,
                     std::unique_ptr<DecisionMaker> maker, VirtualLoop &loop, CommandSink &sink)
    : m_index(index)
    , m_name(std::move(name))
    , m_dataCentre(std::move(dataCentre))
    , m_maker(std::move(maker))
    , m_loop(loop)
    , m_sink(sink)
{ }

void EntryNode::post(Event event)
{
    m_inbox.push_back(std::move(event));
    if (!std::exchange(m_flushing, true)) {
        m_loop.after(Duration::zero(), [this] { flush(); });
    }
}

RequestHandle EntryNode::addRequest(const NodeRequest &request)
{
    const RequestHandle handle { ++m_lastRequest };
    requests[handle] = request;
    return handle;
}

std::vector<PoolSummary> EntryNode::summaries() const
{
    return m_maker->summaries(m_loop.now());
}

void EntryNode::flush()
{
    m_flushing = false;
    const auto events = std::exchange(m_inbox, {});
    std::vector<Command> commands;
    m_maker->step(m_loop.now(), events, commands);
    for (const auto &command : commands) {
        m_sink.execute(*this, command);
    }
    scheduleWake();
}

void EntryNode::scheduleWake()
{
    const auto wanted = m_maker->nextWake();
    if (!wanted) {
        return;
    }
    const Time wake = std::max(*wanted, m_loop.now() + TimerStep);
    if (m_wake && *m_wake > m_loop.now() && *m_wake <= wake) {
        return;
    }
    m_wake = wake;
    m_loop.at(wake, [this, wake] {
        if (m_wake != wake) {
            return;
        }
        m_wake.reset();
        if (!std::exchange(m_flushing, true)) {
            flush();
        }
    });
}

} // namespace snipestall::policy::harness
