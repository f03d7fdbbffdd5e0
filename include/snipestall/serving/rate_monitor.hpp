#pragma once

namespace snipestall::serving {

/// Sequential test whether events are more frequent than normal by at least a given part.
///
/// Each answer adds the logarithm of how much more likely it is if the rate is raised than if it is
/// normal. The sum since it was last at its lowest is the evidence that the rate is raised now (a
/// CUSUM test, which also finds a rate that rises late); the negative of the whole sum is the
/// evidence that it is not. The normal rate may be different for each batch of answers, so that a
/// trouble that affects everybody at the moment is no evidence.
class RateMonitor
{
public:
    /// `excess`: the part of the otherwise normal answers that become events if the rate is raised.
    explicit RateMonitor(double excess)
        : m_excess(excess)
    { }

    /// Adds a batch of answers, of which `events` were events. `normalRate` is between 0 and 1.
    void add(double events, double answers, double normalRate);
    /// Logarithm of the odds that the rate is raised; 0 at least.
    [[nodiscard]] double raised() const { return m_raised; }
    /// Logarithm of the odds that the rate is normal.
    [[nodiscard]] double normal() const { return -m_sum; }

private:
    /// A burst of events within one batch often has one cause, such as a long prompt ahead of
    /// several requests, so a small batch is never proof.
    static constexpr double MaxPerBatch = 5;
    /// The same for each answer of a large batch, as a new holder of the lease finds it.
    static constexpr double MaxPerAnswer = 0.25;

    double m_excess;
    double m_raised = 0;
    double m_sum = 0;
};

} // namespace snipestall::serving
