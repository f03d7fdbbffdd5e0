#include "snipestall/gateway/report_book.hpp"

#include <algorithm>

namespace snipestall::gateway {

namespace v1 = exchange::v1;

namespace {

std::map<std::string, double> useOf(const v1::LoadReport &report)
{
    std::map<std::string, double> totals;
    for (const v1::CustomerUse &use : report.customers())
        totals[use.customer()] = use.units();
    return totals;
}

std::map<std::string, double> workOf(const v1::LoadReport &report)
{
    std::map<std::string, double> totals;
    for (const v1::ServiceWork &work : report.services())
        totals[work.service()] = work.seconds();
    return totals;
}

void addTotals(const std::map<std::string, double> &more, std::map<std::string, double> &sum)
{
    for (const auto &[name, value] : more)
        sum[name] += value;
}

void addServer(const v1::ServerWork &more, v1::ServerWork &sum)
{
    sum.set_server(more.server());
    sum.set_in_flight(sum.in_flight() + more.in_flight());
    sum.set_pending_tokens(sum.pending_tokens() + more.pending_tokens());
    sum.set_held_tokens(sum.held_tokens() + more.held_tokens());
}

} // namespace

void ReportBook::grow(const Totals &totals, Totals &seen, Totals &grown, bool first)
{
    for (const auto &[name, value] : totals) {
        if (!first)
            grown[name] += std::max(0.0, value - seen[name]);
        seen[name] = value;
    }
}

void ReportBook::take(const v1::LoadReport &report, SteadyTime now)
{
    Source &source = m_sources[report.instance()];
    const bool first = source.incarnation != report.incarnation();
    if (source.member != report.to_hub()) {
        // It is summed up elsewhere from now on.
        source.useGrown.clear();
        source.workGrown.clear();
    }
    source.heard = now;
    source.incarnation = report.incarnation();
    source.member = report.to_hub();
    source.report = report;
    grow(useOf(report), source.useSeen, source.useGrown, first);
    grow(workOf(report), source.workSeen, source.workGrown, first);
}

void ReportBook::addSource(const Source &source, SteadyTime now, v1::LoadReport &sum,
                           std::map<std::string, v1::ServerWork> &servers, Totals &use,
                           Totals &work)
{
    addTotals(source.useGrown, use);
    addTotals(source.workGrown, work);
    if (now - source.heard > CountedFor)
        return;
    sum.set_instances(sum.instances() + source.report.instances());
    if (source.report.holds_lease() && now - source.heard <= LeaseHeardWithin)
        sum.set_holds_lease(true);
    if (now - source.heard > LoadsKeptFor)
        return;
    for (const v1::ServerWork &each : source.report.servers())
        addServer(each, servers[each.server()]);
}

v1::LoadReport ReportBook::reportFor(const std::string &receiver, const v1::LoadReport &own,
                                     bool asMember, SteadyTime now) const
{
    v1::LoadReport sum = own;
    sum.set_to_hub(asMember);
    if (asMember)
        return sum;
    const auto known = m_sources.find(receiver);
    const bool toMember = known != m_sources.end() && known->second.member;
    // What is summed up for a member is another series of totals than that for a hub.
    if (toMember)
        sum.set_incarnation(own.incarnation() + 1);
    std::map<std::string, v1::ServerWork> servers;
    for (const v1::ServerWork &each : own.servers())
        addServer(each, servers[each.server()]);
    Totals use = useOf(own);
    Totals work = workOf(own);
    for (const auto &[name, source] : m_sources) {
        if (name != receiver && (toMember || source.member))
            addSource(source, now, sum, servers, use, work);
    }
    sum.clear_servers();
    sum.clear_customers();
    sum.clear_services();
    for (auto &[id, each] : servers)
        *sum.add_servers() = std::move(each);
    for (const auto &[customer, units] : use) {
        v1::CustomerUse *entry = sum.add_customers();
        entry->set_customer(customer);
        entry->set_units(units);
    }
    for (const auto &[service, seconds] : work) {
        v1::ServiceWork *entry = sum.add_services();
        entry->set_service(service);
        entry->set_seconds(seconds);
    }
    return sum;
}

std::size_t ReportBook::instances(SteadyTime now) const
{
    std::size_t count = 1;
    for (const auto &[name, source] : m_sources) {
        if (now - source.heard <= CountedFor)
            count += source.report.instances();
    }
    return count;
}

bool ReportBook::hasMembers(SteadyTime now) const
{
    return std::any_of(m_sources.begin(), m_sources.end(), [now](const auto &entry) {
        return entry.second.member && now - entry.second.heard <= LoadsKeptFor;
    });
}

} // namespace snipestall::gateway
