#pragma once

#include "snipestall/base/clock.hpp"

#include <chrono>
#include <optional>

namespace snipestall::serving {

/// Outcomes of the requests that ended recently at one backend server. All are decaying counts or
/// sums, so those of several instances can be added up.
struct ServerOutcomes
{
    /// Whole answers, and answers with the status of a failure.
    double answered = 0;
    double failed = 0;
    /// Requests whose pace was measured, and the sum of it: the median pause between two events of
    /// a stream, or the duration of a plain call.
    double paced = 0;
    std::chrono::duration<double> pace { 0 };

    /// Counts below this need not be reported.
    static constexpr double Negligible = 0.05;

    ServerOutcomes &operator+=(const ServerOutcomes &other);
    ServerOutcomes &operator-=(const ServerOutcomes &other);
    /// Fraction of the answers that were failures; 0 if there are too few answers to tell.
    [[nodiscard]] double failureRate() const;
    /// The average pace; nothing if too few were measured.
    [[nodiscard]] std::optional<std::chrono::duration<double>> averagePace() const;
    /// Whether so little is left of the counts that it need not be reported.
    [[nodiscard]] bool isNegligible() const;
};

/// Counts the outcomes that one instance sees at one server.
class OutcomeCounter
{
public:
    void answered(SteadyTime now);
    void failed(SteadyTime now);
    /// A stream or a call with this pace has ended.
    void recordPace(std::chrono::duration<double> pace, SteadyTime now);
    [[nodiscard]] ServerOutcomes at(SteadyTime now) const;

private:
    /// A server that has recovered gets requests again within a few half-lives, and one that fails
    /// has failed several requests of the fleet within one.
    static constexpr std::chrono::milliseconds HalfLife { 1500 };

    /// Returns the counts, brought up to `now`.
    ServerOutcomes &decayed(SteadyTime now);

    ServerOutcomes m_counts;
    SteadyTime m_countedAt;
};

} // namespace snipestall::serving
