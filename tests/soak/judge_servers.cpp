// Checks of what backend servers got: repeats, limits, rests, parts that end servers, versions.

#include "soak/judge.hpp"

#include <boost/json/value.hpp>

#include <algorithm>
#include <array>
#include <set>

namespace snipestall::soak {

using namespace std::chrono_literals;
using std::chrono::milliseconds;

namespace {

/// The limit on repeats in the settings of the gateways.
constexpr milliseconds RetryWindow { 10000 };
constexpr double RetryRatio = 0.2;
constexpr double RetrySlack = 60;
/// A server that names one request per second may get one and a half times as many, and 5 more.
constexpr milliseconds LimitWindow { 4000 };
constexpr std::size_t MaxArrivalsAtLimit = 11;

/// What is on its way when a server asks for rest may still arrive within this time; then this many
/// requests from one instance.
constexpr milliseconds OnItsWay { 500 };
constexpr std::size_t MaxArrivalsInRest = 2;
/// A server that leaves gets nothing that is sent later than this after an instance has passed on
/// that it leaves.
constexpr milliseconds DrainTime { 2000 };

/// Requests that a bad version may get, in the settings of the gateways.
constexpr double ExposureShare = 0.3;
constexpr double ExposureTolerance = 100;

std::size_t countWithin(const std::vector<Moment> &times, Moment begin, milliseconds length)
{
    return static_cast<std::size_t>(std::ranges::count_if(
        times, [begin, length](Moment time) { return time >= begin && time < begin + length; }));
}

} // namespace

void Judge::judgeRepeats()
{
    std::map<std::string, std::vector<Moment>> requests;
    for (const Attempt &attempt : m_record.attempts)
        requests[isStream(attempt.kind) ? "lm" : "ledger"].push_back(attempt.sent);
    std::map<std::string, std::vector<Moment>> repeats;
    std::set<std::string> seen;
    for (const Arrival &arrival : m_arrivals) {
        if (!seen.insert(arrival.attempt).second)
            repeats[arrival.service].push_back(arrival.time);
    }
    for (auto &[service, times] : repeats) {
        std::ranges::sort(times);
        for (const Moment begin : times) {
            const auto count = countWithin(times, begin, RetryWindow);
            const std::size_t most =
                std::max({ countWithin(requests[service], begin, RetryWindow),
                           countWithin(requests[service], begin - RetryWindow, RetryWindow),
                           countWithin(requests[service], begin - RetryWindow / 2, RetryWindow) });
            const double allowed = RetryRatio * static_cast<double>(most) + RetrySlack;
            if (static_cast<double>(count) <= allowed)
                continue;
            m_findings.push_back(service + " got " + std::to_string(count) + " repeats for "
                                 + std::to_string(most) + " requests within the retry window");
            break;
        }
    }
}

bool Judge::gatewayFaultWithin(Moment from, Moment to) const
{
    constexpr std::array<FaultKind, 4> Kinds { FaultKind::GatewayKilled,
                                               FaultKind::AllGatewaysKilled,
                                               FaultKind::GatewayStopped,
                                               FaultKind::GatewayPaused };
    return std::any_of(m_record.faults.begin(), m_record.faults.end(), [&](const Fault &fault) {
        return std::ranges::find(Kinds, fault.kind) != Kinds.end()
            && m_record.startedAt + fault.begin <= to
            && m_record.startedAt + fault.end + ContactMargin >= from;
    });
}

void Judge::judgeLimits()
{
    for (auto named = m_limitChanges.begin(); named != m_limitChanges.end(); ++named) {
        if (!named->named)
            continue;
        const auto lifted =
            std::find_if(named, m_limitChanges.end(), [&named](const LimitChange &change) {
                return change.server == named->server && !change.named;
            });
        const Moment to = lifted == m_limitChanges.end() ? Moment::max() : lifted->time;
        judgeLimit(named->server, named->time + ContactMargin, to);
    }
}

void Judge::judgeLimit(const std::string &server, Moment from, Moment to)
{
    std::vector<Moment> times;
    for (const Arrival &arrival : m_arrivals) {
        if (arrival.server == server && arrival.time >= from && arrival.time < to)
            times.push_back(arrival.time);
    }
    for (const Moment begin : times) {
        const std::size_t count = countWithin(times, begin, LimitWindow);
        // An instance is excused for the time of contact after its start.
        if (count <= MaxArrivalsAtLimit || gatewayFaultWithin(begin, begin + LimitWindow))
            continue;
        m_findings.push_back(server + " had named a limit and got " + std::to_string(count)
                             + " requests within 4 s");
        return;
    }
}

void Judge::judgeNotices()
{
    for (const Attempt &attempt : m_record.attempts)
        m_attempts[attempt.id] = &attempt;
    forEachEvent("request-forwarded", [this](const boost::json::value &event) {
        m_forwarded.emplace(event.at("attempt").as_string());
    });
    for (const Notice &notice : m_notices) {
        const auto asked = m_attempts.find(notice.attempt);
        if (asked != m_attempts.end() && !m_forwarded.contains(notice.attempt))
            judgeNotice(notice, *asked->second);
    }
}

void Judge::judgeNotice(const Notice &notice, const Attempt &asked)
{
    const bool leaves = notice.rest.count() == 0;
    // The answer that says that the server leaves has to be passed on first.
    if (leaves && (asked.status == 0 || asked.seal.empty()))
        return;
    const Moment from = leaves ? asked.ended + DrainTime : notice.time + OnItsWay;
    const Moment to = leaves ? Moment::max() : notice.time + notice.rest;
    std::size_t count = 0;
    for (const Arrival &arrival : m_arrivals) {
        const auto found = m_attempts.find(arrival.attempt);
        if (arrival.server != notice.server || found == m_attempts.end()
            || found->second->gateway != asked.gateway || m_forwarded.contains(arrival.attempt))
            continue;
        const Moment time = leaves ? found->second->sent : arrival.time;
        if (time > from && time < to && !gatewayFaultWithin(notice.time, arrival.time))
            ++count;
    }
    if (count > (leaves ? 0 : MaxArrivalsInRest))
        m_findings.push_back(notice.server + (leaves ? " had said that it leaves" : " rested")
                             + " and got " + std::to_string(count) + " requests from gateway "
                             + std::to_string(asked.gateway) + " after " + notice.attempt);
}

std::size_t Judge::sentToNewVersion(const VersionOrder &order, Moment from, Moment to) const
{
    return static_cast<std::size_t>(std::ranges::count_if(m_arrivals, [&](const Arrival &arrival) {
        return arrival.service == order.service && arrival.server.starts_with(NewServerPrefix)
            && arrival.time >= from && arrival.time < to;
    }));
}

void Judge::judgeOrders()
{
    for (const VersionOrder &order : m_record.versionOrders) {
        if (order.isBad && order.state == "completed")
            m_findings.push_back("a bad version of " + order.service + " was completed");
        const std::size_t sent = sentToNewVersion(order, order.orderedAt, order.deadline());
        const auto all = std::ranges::count_if(m_arrivals, [&order](const Arrival &arrival) {
            return arrival.service == order.service && arrival.time >= order.orderedAt
                && arrival.time < order.deadline();
        });
        const double allowed = ExposureShare * static_cast<double>(all) + ExposureTolerance;
        if (order.isBad && static_cast<double>(sent) > allowed)
            m_findings.push_back("a bad version of " + order.service + " got "
                                 + std::to_string(sent) + " of " + std::to_string(all)
                                 + " requests");
        if (order.state != "rolled_back")
            continue;
        const std::size_t late =
            sentToNewVersion(order, order.endedAt + ContactMargin, Moment::max());
        if (late > 0)
            m_findings.push_back("a version of " + order.service + " that was turned away got "
                                 + std::to_string(late) + " requests later");
    }
}

void Judge::judgeCrashingPart()
{
    constexpr std::size_t EnoughEnds = 5;
    constexpr std::size_t MostLater = 3;
    std::set<std::string> crashing;
    for (const Attempt &attempt : m_record.attempts) {
        if (attempt.crashing)
            crashing.insert(attempt.id);
    }
    std::vector<Moment> times;
    for (const Arrival &arrival : m_arrivals) {
        if (crashing.contains(arrival.attempt))
            times.push_back(arrival.time);
    }
    std::ranges::sort(times);
    if (times.size() < EnoughEnds)
        return;
    const Moment bound = times[EnoughEnds - 1] + ContactMargin;
    const auto later = std::ranges::count_if(times, [this, bound](Moment time) {
        return time > bound && !gatewayFaultWithin(time, time);
    });
    if (static_cast<std::size_t>(later) > MostLater)
        m_findings.push_back(std::to_string(later)
                             + " requests with a part that ends servers reached servers too late");
}

} // namespace snipestall::soak
