#pragma once

#include "snipestall/base/clock.hpp"
#include "snipestall/serving/expiring_credits.hpp"

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace snipestall::serving {

/// How many repeated attempts all instances together may send to a service.
struct RetryLimits
{
    std::chrono::milliseconds window { 10000 };
    /// Repeats allowed per first attempt.
    double ratio = 0.2;
    /// Additional repeats allowed per window, over all instances.
    double slack = 0;
};

/// Credits for repeats by service.
using RetryLevels = std::map<std::string, double>;

/// Credits for repeats that one instance hands over to another.
struct RetryGrant
{
    std::string service;
    double credits = 0;
    /// Time since they were earned.
    std::chrono::milliseconds age { 0 };
};

/// The credit that was spent on one repeat.
struct RepeatCredit
{
    std::string service;
    SteadyTime earnedAt;
};

/// Limits the repeated attempts that this instance sends to each service.
///
/// Load: many servers fail or lose answers, so that most attempts have to be repeated, while
/// instances are killed, cut off or added, and callers move between them. Harm: repeats add load to
/// servers that already fail, and so keep the failure going.
///
/// A repeat costs one credit. Each first attempt earns credits, and each instance earns its share
/// of the fixed allowance over time; both at half of what is allowed. Credits expire after a
/// window. What all instances together spend in a window has therefore been earned in it or in the
/// window before it, which is at most the limit. This holds without any messages: a process starts
/// with no credits, so a kill, a partition or a lost message can only lose some.
///
/// Credits can be handed over, so that a process that has just started can repeat requests too.
class RetryAllowance
{
public:
    explicit RetryAllowance(RetryLimits limits);

    /// To be called if the whole fleet starts for the first time. Nothing has been spent before, so
    /// this instance begins with its share of the fixed allowance.
    void startWithFixed() { m_startsWithFixed = true; }
    /// Sets the number of instances that share the fixed allowance, including those that can't be
    /// reached at present. Until it is set, this instance gets no part of it.
    void setInstances(std::size_t count, SteadyTime now);
    /// Counts a first attempt.
    void countFirstAttempt(const std::string &service, SteadyTime now);
    /// Spends a credit on a repeat; returns nothing if there is none.
    std::optional<RepeatCredit> takeRepeat(const std::string &service, SteadyTime now);
    /// The same for a repeat that is sent in any case.
    bool tryRepeat(const std::string &service, SteadyTime now)
    {
        return takeRepeat(service, now).has_value();
    }
    /// Whether takeRepeat() would return a credit.
    [[nodiscard]] bool hasRepeat(const std::string &service, SteadyTime now);
    /// The repeat was not sent. The credit expires when it would have without having been taken.
    void giveBack(const RepeatCredit &credit);

    /// Credits of this instance, for its peers.
    [[nodiscard]] RetryLevels levels(SteadyTime now);
    /// Takes out credits for a peer that has only `peerLevels`: half of the difference, where this
    /// instance has many more.
    [[nodiscard]] std::vector<RetryGrant> handOver(const RetryLevels &peerLevels, SteadyTime now);
    /// Adds credits that a peer has handed over.
    void receive(const RetryGrant &grant, SteadyTime now);

private:
    /// Part of the window after which credits expire. The rest is the time that repeats may take to
    /// arrive, and handed over credits to be received.
    static constexpr double LifetimeInWindows = 0.9;
    /// Credits are spent in the window in which they were earned or in the next one.
    static constexpr double EarnedFraction = 0.5;
    /// Credits that an instance must have before it hands over any.
    static constexpr double SparesFrom = 2;
    /// How many times the credits of the peer it must have. Similar levels are not evened out, so
    /// that few credits are lost with reports.
    static constexpr double SparesAtRatio = 2;

    /// Adds the share of the fixed allowance since the last call.
    void earnFixed(SteadyTime now);
    void addFixed(ExpiringCredits::Batch batch);
    ExpiringCredits &creditsFor(const std::string &service);

    RetryLimits m_limits;
    std::chrono::milliseconds m_lifetime;
    /// 0 until it is known.
    std::size_t m_instances = 0;
    bool m_startsWithFixed = false;
    SteadyTime m_fixedEarnedUntil;
    /// What a service has that has not been used yet.
    ExpiringCredits m_fixed;
    std::map<std::string, ExpiringCredits> m_services;
};

} // namespace snipestall::serving
