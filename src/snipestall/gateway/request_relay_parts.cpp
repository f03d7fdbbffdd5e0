// The part of RequestRelay that keeps requests from servers that a part of their prompt would
// crash.

#include "snipestall/gateway/request_relay.hpp"

#include "relay_text.hpp"
#include "snipestall/gateway/gateway_state.hpp"
#include "snipestall/wire/signal.hpp"

namespace snipestall::gateway {

using std::chrono::milliseconds;
using Verdict = serving::PartCrashWatch::Verdict;
using wire::Task;

namespace {

constexpr milliseconds VerdictTick { 10 };
/// An answer that has had events for longer has not crashed its server by its beginning. The
/// connection of a server that crashes at the first event breaks shortly after it.
constexpr milliseconds JustBegun { 200 };
/// Retry time for a request whose parts can't be judged yet.
constexpr milliseconds RetryAfterUnknownParts { 500 };

} // namespace

serving::PromptParts RequestRelay::promptParts() const
{
    if (!m_header.prompt || m_placementRequest.service == nullptr)
        return {};
    return serving::PromptParts::of(m_placementRequest.service->name, *m_header.prompt);
}

serving::PromptParts RequestRelay::suspectParts() const
{
    const bool begun = m_firstByteAt && m_state.clock.steadyNow() - *m_firstByteAt > JustBegun;
    return begun ? serving::PromptParts() : promptParts();
}

bool RequestRelay::partBlocked() const
{
    return m_header.prompt
        && m_state.crashes.parts().verdict(promptParts(), m_state.clock.steadyNow())
        == Verdict::Blocked;
}

Task<void> RequestRelay::awaitPartVerdict()
{
    if (!m_header.prompt)
        co_return;
    const serving::PromptParts parts = promptParts();
    while (m_state.crashes.parts().verdict(parts, m_state.clock.steadyNow()) == Verdict::Suspected
           && !m_callerGone && !m_cancelled && !deadlinePassed())
        co_await wire::sleepFor(VerdictTick);
}

Task<bool> RequestRelay::admitParts()
{
    if (!m_header.prompt || m_header.prompt->parts.empty())
        co_return true;
    if (!m_state.crashes.parts().known()) {
        co_await refuseParts(RetryAfterUnknownParts, "parts-unknown");
        co_return false;
    }
    co_await awaitPartVerdict();
    if (!partBlocked())
        co_return true;
    if (m_route->mayRepeat()
        && m_state.crashes.parts().takeTrial(promptParts(), m_state.clock.steadyNow()))
        co_return true;
    co_await refuseParts(RetryAfterCrashes, "part-ends-servers");
    co_return false;
}

Task<void> RequestRelay::refuseParts(milliseconds retryAfter, const char *reason)
{
    ++m_state.counters.refused;
    co_await answer(refusal(503, retryAfter), reason);
}

} // namespace snipestall::gateway
