#pragma once

#include "snipestall/policy/event.hpp"
#include "snipestall/policy/time.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <memory>
#include <vector>

namespace snipestall::policy {
class DecisionMaker;
}

namespace snipestall::entry {

class CommandSink;

/// Drives the policy: collects the events of one iteration of the I/O loop, steps the decision
/// maker once, executes its commands, and wakes it at the time that it requests.
class PolicyLoop
{
public:
    PolicyLoop(boost::asio::io_context &io, std::unique_ptr<policy::DecisionMaker> maker,
               CommandSink &sink);
    ~PolicyLoop();

    /// Queues an event for the next step.
    void post(policy::Event event);

    [[nodiscard]] const policy::DecisionMaker &maker() const { return *m_maker; }
    static policy::Time toPolicy(std::chrono::steady_clock::time_point time);
    static policy::Time now() { return toPolicy(std::chrono::steady_clock::now()); }

private:
    void schedule();
    void step();
    void armTimer();

    boost::asio::io_context &m_io;
    std::unique_ptr<policy::DecisionMaker> m_maker;
    CommandSink &m_sink;
    std::vector<policy::Event> m_events;
    boost::asio::steady_timer m_timer;
    bool m_scheduled = false;
    /// False once the loop is destroyed; checked by pending callbacks.
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace snipestall::entry
