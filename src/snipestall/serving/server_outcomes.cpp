#include "snipestall/serving/server_outcomes.hpp"

#include <cmath>

namespace snipestall::serving {

namespace {

/// Fewer answers say little about a server: of two, one may have failed by chance.
constexpr double MinAnswers = 3;
/// One request counts for one half-life after its end.
constexpr double MinPaced = 0.5;

} // namespace

ServerOutcomes &ServerOutcomes::operator+=(const ServerOutcomes &other)
{
    answered += other.answered;
    failed += other.failed;
    paced += other.paced;
    pace += other.pace;
    return *this;
}

ServerOutcomes &ServerOutcomes::operator-=(const ServerOutcomes &other)
{
    answered -= other.answered;
    failed -= other.failed;
    paced -= other.paced;
    pace -= other.pace;
    return *this;
}

double ServerOutcomes::failureRate() const
{
    const double all = answered + failed;
    return all < MinAnswers ? 0 : failed / all;
}

std::optional<std::chrono::duration<double>> ServerOutcomes::averagePace() const
{
    if (paced < MinPaced)
        return std::nullopt;
    return pace / paced;
}

bool ServerOutcomes::isNegligible() const
{
    return answered + failed + paced < Negligible;
}

ServerOutcomes &OutcomeCounter::decayed(SteadyTime now)
{
    m_counts = at(now);
    m_countedAt = now;
    return m_counts;
}

ServerOutcomes OutcomeCounter::at(SteadyTime now) const
{
    if (m_counts.isNegligible())
        return {};
    const std::chrono::duration<double> passed = now - m_countedAt;
    const double left = std::exp2(-(passed / HalfLife));
    return { m_counts.answered * left, m_counts.failed * left, m_counts.paced * left,
             m_counts.pace * left };
}

void OutcomeCounter::answered(SteadyTime now)
{
    ++decayed(now).answered;
}

void OutcomeCounter::failed(SteadyTime now)
{
    ++decayed(now).failed;
}

void OutcomeCounter::recordPace(std::chrono::duration<double> pace, SteadyTime now)
{
    ServerOutcomes &counts = decayed(now);
    ++counts.paced;
    counts.pace += pace;
}

} // namespace snipestall::serving
