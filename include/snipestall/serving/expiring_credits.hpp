#pragma once

#include "snipestall/base/clock.hpp"

#include <chrono>
#include <deque>
#include <optional>

namespace snipestall::serving {

/// An amount that was earned piece by piece. Each piece expires after a fixed time if it is not
/// spent.
class ExpiringCredits
{
public:
    /// Credits that were earned at the same time.
    struct Batch
    {
        SteadyTime earnedAt;
        double amount = 0;
    };

    explicit ExpiringCredits(std::chrono::milliseconds lifetime)
        : m_lifetime(lifetime)
    { }

    void add(Batch batch);
    [[nodiscard]] double total(SteadyTime now) const;
    [[nodiscard]] bool hasAtLeast(double amount, SteadyTime now) const;
    /// Spends the oldest credits and returns them; they count as old as the oldest of them. Spends
    /// nothing if there are not enough.
    std::optional<Batch> spend(double amount, SteadyTime now);
    /// The same for credits that are not given back.
    bool trySpend(double amount, SteadyTime now) { return spend(amount, now).has_value(); }
    /// Takes out the newest credits, at most `amount`. They count as old as the oldest of them.
    Batch takeNewest(double amount, SteadyTime now);

private:
    /// Credits that were earned within this part of the lifetime are kept as one batch.
    static constexpr int BatchesPerLifetime = 20;

    void dropExpired(SteadyTime now);

    std::chrono::milliseconds m_lifetime;
    /// Oldest first.
    std::deque<Batch> m_batches;
};

} // namespace snipestall::serving
