#include "snipestall/entry/policy_loop.hpp"

#include "snipestall/entry/command_sink.hpp"
#include "snipestall/policy/decision_maker.hpp"

#include <boost/asio/post.hpp>

#include <utility>
#include <variant>

namespace snipestall::entry {

PolicyLoop::PolicyLoop(boost::asio::io_context &io, std::unique_ptr<policy::DecisionMaker> maker,
                       CommandSink &sink)
    : m_io(io)
    , m_maker(std::move(maker))
    , m_sink(sink)
    , m_timer(io)
{ }

PolicyLoop::~PolicyLoop()
{
    *m_alive = false;
}

void PolicyLoop::post(policy::Event event)
{
    m_events.push_back(std::move(event));
    schedule();
}

void PolicyLoop::schedule()
{
    if (std::exchange(m_scheduled, true))
        return;
    boost::asio::post(m_io, [this, alive = m_alive] {
        if (*alive)
            step();
    });
}

void PolicyLoop::step()
{
    m_scheduled = false;
    const std::vector<policy::Event> events = std::exchange(m_events, {});
    std::vector<policy::Command> commands;
    m_maker->step(now(), events, commands);
    for (const policy::Command &command : commands)
        std::visit([this](const auto &typed) { m_sink.execute(typed); }, command);
    armTimer();
}

void PolicyLoop::armTimer()
{
    const auto wake = m_maker->nextWake();
    if (!wake) {
        m_timer.cancel();
        return;
    }
    m_timer.expires_at(std::chrono::steady_clock::time_point(wake->time_since_epoch()));
    m_timer.async_wait([this, alive = m_alive](const boost::system::error_code &ec) {
        if (!ec && *alive)
            schedule();
    });
}

policy::Time PolicyLoop::toPolicy(std::chrono::steady_clock::time_point time)
{
    return policy::Time(std::chrono::duration_cast<policy::Duration>(time.time_since_epoch()));
}

} // namespace snipestall::entry
