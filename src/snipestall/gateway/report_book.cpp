#include "snipestall/gateway/report_book.hpp"

#include <algorithm>
#include <limits>
#include <utility>

namespace snipestall::gateway {

namespace v1 = exchange::v1;

namespace {

/// The number of the stage that the sender of a report follows; 0 if it follows none.
std::uint64_t followedBy(const v1::LoadReport &report, const std::string &service)
{
    for (const v1::RolloutFollowed &followed : report.rollouts_followed()) {
        if (followed.service() == service)
            return followed.number();
    }
    return 0;
}

void addTotals(const std::map<std::string, double> &more, double factor,
               std::map<std::string, double> &sum)
{
    for (const auto &[name, value] : more)
        sum[name] += factor * value;
}

template<typename Field, typename Sums>
void addBands(const Field &field, int factor, Sums &sums)
{
    const std::size_t count = std::min(sums.size(), static_cast<std::size_t>(field.size()));
    for (std::size_t i = 0; i < count; ++i)
        sums.at(i) += factor * static_cast<std::int64_t>(field[static_cast<int>(i)]);
}

} // namespace

ReportBook::AllTotals ReportBook::totalsOf(const v1::LoadReport &report)
{
    AllTotals totals;
    for (const v1::CustomerUse &use : report.customers()) {
        totals[Used][use.customer()] = use.units();
        totals[Asked][use.customer()] = use.asked();
    }
    for (const v1::ServiceWork &work : report.services()) {
        totals[Work][work.service()] = work.seconds();
        totals[SlotWork][work.service()] = work.slot_seconds();
    }
    for (const v1::RolloutTotal &total : report.rollout_totals())
        totals[Rollout][total.name()] = total.value();
    return totals;
}

serving::QuotaUse ReportBook::quotaUse(const v1::LoadReport &report)
{
    serving::QuotaUse use;
    for (const v1::CustomerUse &each : report.customers())
        use[each.customer()] = { each.units(), each.asked(), each.unheard_units(),
                                 each.unheard_asked_per_s() };
    return use;
}

void ReportBook::Series::update(const Totals &totals, bool first, SteadyTime now,
                                const std::vector<Totals *> &sums)
{
    for (const auto &[name, value] : totals) {
        const double growth = first ? 0 : std::max(0.0, value - lastTotals[name]);
        totalGrowth[name] += growth;
        for (Totals *sum : sums)
            (*sum)[name] += growth;
        rates[name].add(growth, GrowthAveragedOver, now);
        lastTotals[name] = value;
    }
}

double ReportBook::Series::rateAt(const std::string &name, SteadyTime lastReportAt) const
{
    const auto rate = rates.find(name);
    return rate == rates.end() ? 0 : rate->second.at(GrowthAveragedOver, lastReportAt);
}

void ReportBook::addReport(const v1::LoadReport &report, SteadyTime now)
{
    if (report.for_member())
        forgetOtherHubs(report.instance());
    Source &source = m_sources[report.instance()];
    const bool first = source.series != report.series();
    subtractServers(source);
    if (source.member != report.to_hub() || source.report.for_member() != report.for_member()) {
        // The reports of the source cover other instances than before, so other sums include it
        // from now on.
        for (SourceSums *sums : sumsOf(source))
            subtractGrowth(source, *sums);
        for (Series &series : source.totals)
            series.totalGrowth.clear();
    }
    source.lastReportAt = now;
    source.series = report.series();
    source.member = report.to_hub();
    source.report = report;
    source.loadsCounted = true;
    const std::vector<SourceSums *> including = sumsOf(source);
    for (SourceSums *sums : including)
        addServers(report, 1, *sums);
    const AllTotals totals = totalsOf(report);
    for (std::size_t kind = 0; kind < KindsOfTotals; ++kind) {
        std::vector<Totals *> sums;
        sums.reserve(including.size());
        for (SourceSums *each : including)
            sums.push_back(&each->totals[kind]);
        source.totals[kind].update(totals[kind], first, now, sums);
    }
    dropExpiredLoads(now);
}

std::vector<ReportBook::SourceSums *> ReportBook::sumsOf(const Source &source)
{
    // A report that a hub sent to this instance as its member covers the whole fleet, including
    // instances that have reported for themselves since this instance became a hub.
    if (source.report.for_member())
        return {};
    if (source.member)
        return { &m_all, &m_members };
    return { &m_all };
}

void ReportBook::addServers(const v1::LoadReport &report, int factor, SourceSums &sums)
{
    for (const v1::ServerWork &work : report.servers()) {
        ServerSum &sum = sums.servers[work.server()];
        sum.inFlight += factor * static_cast<std::int64_t>(work.in_flight());
        sum.pendingTokens += factor * static_cast<std::int64_t>(work.pending_tokens());
        sum.heldTokens += factor * static_cast<std::int64_t>(work.held_tokens());
        sum.answered += factor * static_cast<std::int64_t>(work.answered_c());
        sum.failed += factor * static_cast<std::int64_t>(work.failed_c());
        sum.pauses += factor * static_cast<std::int64_t>(work.pauses_c());
        sum.pauseMicros += factor * static_cast<std::int64_t>(work.pause_us());
        addBands(work.waiting(), factor, sum.waiting);
        addBands(work.band_tokens(), factor, sum.bandTokens);
        if (sum == ServerSum())
            sums.servers.erase(work.server());
    }
}

void ReportBook::subtractServers(Source &source)
{
    if (!std::exchange(source.loadsCounted, false))
        return;
    for (SourceSums *sums : sumsOf(source))
        addServers(source.report, -1, *sums);
}

void ReportBook::dropExpiredLoads(SteadyTime now)
{
    for (auto &[name, source] : m_sources) {
        if (now - source.lastReportAt > LoadsKeptFor)
            subtractServers(source);
    }
}

void ReportBook::subtractGrowth(const Source &source, SourceSums &sums)
{
    for (std::size_t kind = 0; kind < KindsOfTotals; ++kind)
        addTotals(source.totals[kind].totalGrowth, -1, sums.totals[kind]);
}

void ReportBook::forgetOtherHubs(const std::string &hub)
{
    std::erase_if(m_sources, [&hub](const auto &entry) {
        return entry.first != hub && entry.second.report.for_member();
    });
}

const ReportBook::Source *ReportBook::liveHub(SteadyTime now) const
{
    const auto found = std::find_if(m_sources.begin(), m_sources.end(), [now](const auto &entry) {
        return entry.second.report.for_member()
            && now - entry.second.lastReportAt <= ReachableWithin;
    });
    return found == m_sources.end() ? nullptr : &found->second;
}

bool ReportBook::isCoveredByHub(const v1::LoadReport &report, SteadyTime now) const
{
    return !report.for_member() && liveHub(now) != nullptr;
}

void ReportBook::addSource(const Source &source, SteadyTime now, v1::LoadReport &report,
                           LateUse &lateUse)
{
    if (now - source.lastReportAt > CountedFor)
        return;
    addLateUse(source, now, lateUse);
    report.set_instances(report.instances() + source.report.instances());
    if (source.report.holds_lease() && now - source.lastReportAt <= LeaseReportedWithin)
        report.set_holds_lease(true);
    if (now - source.lastReportAt <= ReachableWithin)
        report.set_heard_instances(report.heard_instances() + source.report.heard_instances());
}

void ReportBook::addLateUse(const Source &source, SteadyTime now, LateUse &lateUse)
{
    const auto silent = std::min<SteadyTime::duration>(now - source.lastReportAt, ReachableWithin);
    const bool isLate = silent > OnTimeWithin;
    const std::chrono::duration<double> silence = isLate ? silent : SteadyTime::duration::zero();
    for (const v1::CustomerUse &use : source.report.customers()) {
        // This is the usual case. The shortcut matters because a hub sums all customers of all its
        // sources for each member.
        if (!isLate && use.unheard_units() <= 0 && use.unheard_asked_per_s() <= 0)
            continue;
        const std::string &customer = use.customer();
        lateUse.use[customer] += use.unheard_units()
            + source.totals[Used].rateAt(customer, source.lastReportAt) * silence.count();
        if (now - source.lastReportAt > ReachableWithin)
            continue;
        lateUse.asked[customer] += use.unheard_asked_per_s();
        if (isLate)
            lateUse.asked[customer] += source.totals[Asked].rateAt(customer, source.lastReportAt);
    }
}

void ReportBook::write(const SourceSums &sums, const LateUse &lateUse, v1::LoadReport &report)
{
    report.clear_servers();
    report.clear_customers();
    report.clear_services();
    report.clear_rollout_totals();
    for (const auto &[id, sum] : sums.servers) {
        v1::ServerWork *work = report.add_servers();
        work->set_server(id);
        work->set_in_flight(static_cast<std::uint32_t>(sum.inFlight));
        work->set_pending_tokens(static_cast<std::uint32_t>(sum.pendingTokens));
        work->set_held_tokens(static_cast<std::uint64_t>(sum.heldTokens));
        work->set_answered_c(static_cast<std::uint32_t>(sum.answered));
        work->set_failed_c(static_cast<std::uint32_t>(sum.failed));
        work->set_pauses_c(static_cast<std::uint32_t>(sum.pauses));
        work->set_pause_us(static_cast<std::uint64_t>(sum.pauseMicros));
        if (std::ranges::all_of(sum.waiting, [](std::int64_t count) { return count == 0; }))
            continue;
        for (const std::int64_t waiting : sum.waiting)
            work->add_waiting(static_cast<std::uint32_t>(waiting));
        for (const std::int64_t tokens : sum.bandTokens)
            work->add_band_tokens(static_cast<std::uint32_t>(tokens));
    }
    for (const auto &[customer, units] : sums.totals[Used]) {
        v1::CustomerUse *entry = report.add_customers();
        entry->set_customer(customer);
        entry->set_units(units);
        const auto asked = sums.totals[Asked].find(customer);
        entry->set_asked(asked == sums.totals[Asked].end() ? units : asked->second);
        if (const auto used = lateUse.use.find(customer); used != lateUse.use.end())
            entry->set_unheard_units(used->second);
        if (const auto rate = lateUse.asked.find(customer); rate != lateUse.asked.end())
            entry->set_unheard_asked_per_s(rate->second);
    }
    for (const auto &[service, seconds] : sums.totals[Work]) {
        v1::ServiceWork *entry = report.add_services();
        entry->set_service(service);
        entry->set_seconds(seconds);
        if (const auto slots = sums.totals[SlotWork].find(service);
            slots != sums.totals[SlotWork].end())
            entry->set_slot_seconds(slots->second);
    }
    for (const auto &[name, value] : sums.totals[Rollout]) {
        v1::RolloutTotal *entry = report.add_rollout_totals();
        entry->set_name(name);
        entry->set_value(value);
    }
}

void ReportBook::mergeFollowed(const Source &source, SteadyTime now, v1::LoadReport &report) const
{
    if (now - source.lastReportAt > m_contact)
        return;
    for (v1::RolloutFollowed &followed : *report.mutable_rollouts_followed())
        followed.set_number(
            std::min(followed.number(), followedBy(source.report, followed.service())));
}

std::uint64_t ReportBook::followedByAll(const std::string &service, SteadyTime now) const
{
    std::uint64_t lowest = std::numeric_limits<std::uint64_t>::max();
    for (const auto &[name, source] : m_sources) {
        if (now - source.lastReportAt <= m_contact)
            lowest = std::min(lowest, followedBy(source.report, service));
    }
    return lowest;
}

v1::LoadReport ReportBook::reportFor(const std::string &receiver, const v1::LoadReport &own,
                                     bool asMember, SteadyTime now) const
{
    v1::LoadReport report = own;
    report.set_to_hub(asMember);
    if (asMember)
        return report;
    const auto known = m_sources.find(receiver);
    const bool toMember = known != m_sources.end() && known->second.member;
    // The sums for a member are another series of totals than the sums for a hub. They also begin a
    // new series when the member returns, because in between it has reported its use to another
    // hub.
    if (toMember)
        report.set_series(own.series() + known->second.series);
    report.set_for_member(toMember);
    SourceSums sums = toMember ? m_all : m_members;
    const bool counted = known != m_sources.end() && !known->second.report.for_member();
    if (counted && (toMember || known->second.member)) {
        subtractGrowth(known->second, sums);
        if (known->second.loadsCounted)
            addServers(known->second.report, -1, sums);
    }
    const AllTotals ownTotals = totalsOf(own);
    for (std::size_t kind = 0; kind < KindsOfTotals; ++kind)
        addTotals(ownTotals[kind], 1, sums.totals[kind]);
    addServers(own, 1, sums);
    LateUse lateUse;
    for (const auto &[name, source] : m_sources) {
        if (source.report.for_member())
            continue;
        if (name == receiver || !(toMember || source.member))
            continue;
        if (source.loadsCounted && now - source.lastReportAt > LoadsKeptFor)
            addServers(source.report, -1, sums);
        addSource(source, now, report, lateUse);
        mergeFollowed(source, now, report);
    }
    write(sums, lateUse, report);
    return report;
}

std::size_t ReportBook::instances(SteadyTime now) const
{
    if (const Source *hub = liveHub(now))
        return 1 + hub->report.instances();
    std::size_t count = 1;
    for (const auto &[name, source] : m_sources) {
        if (now - source.lastReportAt <= CountedFor)
            count += source.report.instances();
    }
    return count;
}

bool ReportBook::hasMembers(SteadyTime now) const
{
    return std::any_of(m_sources.begin(), m_sources.end(), [now](const auto &entry) {
        return entry.second.member && now - entry.second.lastReportAt <= LoadsKeptFor;
    });
}

} // namespace snipestall::gateway
