#pragma once

#include "snipestall/base/clock.hpp"

#include <chrono>
#include <optional>

namespace snipestall::serving {

/// What the requests that ended recently say of one backend server. All are counts that decay, so
/// those of several instances can be added up.
struct ServerOutcomes
{
    /// Whole answers, and answers with the status of a failure.
    double answered = 0;
    double failed = 0;
    /// Streams whose pauses between events were measured, and the sum of their median pauses.
    double streams = 0;
    std::chrono::duration<double> pauses { 0 };

    ServerOutcomes &operator+=(const ServerOutcomes &other);
    /// Part of the answers that were failures; 0 if there are too few answers to tell.
    [[nodiscard]] double failureRate() const;
    /// The average pause of the streams; nothing if there are too few.
    [[nodiscard]] std::optional<std::chrono::duration<double>> pause() const;
    /// Whether so little is left of the counts that it need not be reported.
    [[nodiscard]] bool isNegligible() const;
};

/// Counts the outcomes that one instance sees at one server.
class OutcomeCounter
{
public:
    void answered(SteadyTime now);
    void failed(SteadyTime now);
    /// A stream with this median pause between its events has ended.
    void streamEnded(std::chrono::duration<double> pause, SteadyTime now);
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
