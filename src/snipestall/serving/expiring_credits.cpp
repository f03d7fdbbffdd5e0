#include "snipestall/serving/expiring_credits.hpp"

#include <algorithm>

namespace snipestall::serving {

void ExpiringCredits::add(Batch batch)
{
    const auto after =
        std::upper_bound(m_batches.begin(), m_batches.end(), batch.earnedAt,
                         [](SteadyTime time, const Batch &each) { return time < each.earnedAt; });
    if (after != m_batches.begin()) {
        Batch &before = *std::prev(after);
        if (batch.earnedAt - before.earnedAt < m_lifetime / BatchesPerLifetime) {
            before.amount += batch.amount;
            return;
        }
    }
    m_batches.insert(after, batch);
}

double ExpiringCredits::total(SteadyTime now) const
{
    double sum = 0;
    for (const Batch &batch : m_batches)
        sum += now - batch.earnedAt < m_lifetime ? batch.amount : 0;
    return sum;
}

bool ExpiringCredits::hasAtLeast(double amount, SteadyTime now) const
{
    // Sums of fractions are inexact.
    constexpr double Epsilon = 1e-9;
    return total(now) + Epsilon >= amount;
}

std::optional<ExpiringCredits::Batch> ExpiringCredits::spend(double amount, SteadyTime now)
{
    dropExpired(now);
    if (!hasAtLeast(amount, now))
        return std::nullopt;
    const Batch spent { m_batches.empty() ? now : m_batches.front().earnedAt, amount };
    while (amount > 0 && !m_batches.empty()) {
        Batch &oldest = m_batches.front();
        const double part = std::min(oldest.amount, amount);
        oldest.amount -= part;
        amount -= part;
        if (oldest.amount <= 0)
            m_batches.pop_front();
    }
    return spent;
}

ExpiringCredits::Batch ExpiringCredits::takeNewest(double amount, SteadyTime now)
{
    dropExpired(now);
    Batch taken { now, 0 };
    while (taken.amount < amount && !m_batches.empty()) {
        Batch &newest = m_batches.back();
        const double part = std::min(newest.amount, amount - taken.amount);
        taken = { newest.earnedAt, taken.amount + part };
        newest.amount -= part;
        if (newest.amount <= 0)
            m_batches.pop_back();
    }
    return taken;
}

void ExpiringCredits::dropExpired(SteadyTime now)
{
    while (!m_batches.empty() && now - m_batches.front().earnedAt >= m_lifetime)
        m_batches.pop_front();
}

} // namespace snipestall::serving
