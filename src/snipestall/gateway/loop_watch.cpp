#include "snipestall/gateway/loop_watch.hpp"

#include "relay_text.hpp"
#include "snipestall/base/event_catalogue.hpp"
#include "snipestall/base/log.hpp"
#include "snipestall/gateway/gateway_state.hpp"
#include "snipestall/wire/signal.hpp"
#include "snipestall/wire/spawn.hpp"

#include <string>
#include <utility>

namespace snipestall::gateway {

using serving::LoopLag;
using wire::Task;

namespace {

/// Limits the number of log lines of a process that stays late.
constexpr std::chrono::milliseconds ReportInterval { 1000 };

} // namespace

LoopWatch::LoopWatch(GatewayState &state)
    : m_state(state)
    , m_nextReport(state.clock.steadyNow())
{ }

void LoopWatch::start()
{
    wire::spawnLoop(
        m_state.io, [this] { return tick(); }, "loop-watch");
}

Task<void> LoopWatch::tick()
{
    while (true) {
        const SteadyTime due = m_state.clock.steadyNow() + LoopLag::Tick;
        co_await wire::sleepFor(LoopLag::Tick);
        const SteadyTime now = m_state.clock.steadyNow();
        m_state.loopLag.ticked(due, now);
        m_state.metrics.recordLoopDelay(m_state.loopLag.last());
        report(now);
    }
}

void LoopWatch::report(SteadyTime now)
{
    if (now < m_nextReport)
        return;
    m_nextReport = now + ReportInterval;
    const auto worst = m_state.loopLag.takeWorst();
    const LoopWork work = std::exchange(m_state.loopWork, {});
    if (worst < LoopLag::LateThreshold)
        return;
    logEvent(events::LoopLate,
             { { "ms", std::to_string(worst.count()) },
               { "requests", std::to_string(m_state.requestsInFlight) },
               { "requests_read", std::to_string(work.requestsRead) },
               { "reports", std::to_string(work.reports) },
               { "reports_ms", std::to_string(toMillis(work.reportTime)) },
               { "rows", std::to_string(work.rows) } });
}

} // namespace snipestall::gateway
