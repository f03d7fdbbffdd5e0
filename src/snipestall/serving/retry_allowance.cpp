#include "snipestall/serving/retry_allowance.hpp"

#include <algorithm>

namespace snipestall::serving {

std::int64_t RetryAllowance::sliceNumber(SteadyTime now) const
{
    const auto length =
        std::max<std::chrono::milliseconds>(m_limits.window / Slices, std::chrono::milliseconds(1));
    return now.time_since_epoch() / length;
}

RetryAllowance::Slice &RetryAllowance::slice(const std::string &service, SteadyTime now)
{
    const std::int64_t number = sliceNumber(now);
    Slice &current = m_services[service].at(static_cast<std::size_t>(number) % Slices);
    if (current.number != number)
        current = { number, 0, 0 };
    return current;
}

void RetryAllowance::countFirstAttempt(const std::string &service, SteadyTime now)
{
    ++slice(service, now).firstAttempts;
}

bool RetryAllowance::tryRepeat(const std::string &service, SteadyTime now)
{
    Slice &current = slice(service, now);
    const std::int64_t oldest = sliceNumber(now) - static_cast<std::int64_t>(Slices);
    double firstAttempts = 0;
    double repeats = 0;
    for (const Slice &each : m_services[service]) {
        if (each.number <= oldest)
            continue;
        firstAttempts += each.firstAttempts;
        repeats += each.repeats;
    }
    const double allowed = UsedFraction
        * (m_limits.ratio * firstAttempts
           + m_limits.slack / static_cast<double>(std::max<std::size_t>(m_instances, 1)));
    if (repeats + 1 > allowed)
        return false;
    ++current.repeats;
    return true;
}

} // namespace snipestall::serving
