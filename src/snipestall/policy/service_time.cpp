#include "snipestall/policy/service_time.hpp"

#include <chrono>

namespace snipestall::policy {
namespace {

using Seconds = std::chrono::duration<double>;

/// Weight of one observation: about the last fifty observations count, which is a second or two of
/// a busy pool. With a higher weight one unusual request changes every refusal; with a lower one a
/// burst is over before it affects the estimate.
constexpr double Gain = 0.02;

/// The time of a prompt shorter than this depends more on overhead than on the length of the
/// prompt.
constexpr std::uint32_t MinLearnedPrompt = 64;

void blend(double &mean, double observed)
{
    mean += Gain * (observed - mean);
}

Duration toDuration(double seconds)
{
    return std::chrono::duration_cast<Duration>(Seconds(seconds));
}

} // namespace

Duration ServiceTime::estimate(double promptTokens, double outputTokens) const
{
    if (promptTokens + outputTokens < 1)
        return toDuration(m_plainCallSeconds);
    return toDuration(m_promptTokenSeconds * promptTokens + m_outputTokenSeconds * outputTokens);
}

Duration ServiceTime::outputTokenTime() const
{
    return toDuration(m_outputTokenSeconds);
}

Duration ServiceTime::promptTime(double promptTokens) const
{
    return toDuration(m_promptTokenSeconds * promptTokens);
}

void ServiceTime::learnFirstToken(std::uint32_t promptTokens, Duration taken)
{
    if (promptTokens >= MinLearnedPrompt)
        blend(m_promptTokenSeconds, Seconds(taken).count() / promptTokens);
}

void ServiceTime::learnOutput(double tokens, Duration taken)
{
    if (tokens > 0)
        blend(m_outputTokenSeconds, Seconds(taken).count() / tokens);
}

void ServiceTime::learnPlainCall(Duration taken)
{
    blend(m_plainCallSeconds, Seconds(taken).count());
}

} // namespace snipestall::policy
