#include "snipestall/serving/slot_shares.hpp"

#include "snipestall/base/rendezvous.hpp"
#include "snipestall/serving/server_table.hpp"

#include <algorithm>
#include <utility>

namespace snipestall::serving {

using std::chrono::milliseconds;

SlotShares::SlotShares(std::string self)
    : m_self(std::move(self))
{ }

void SlotShares::setInstances(std::map<std::string, std::string> dataCentres)
{
    if (dataCentres == m_dataCentres)
        return;
    m_dataCentres = std::move(dataCentres);
    m_places.clear();
}

bool SlotShares::named(const RejectionReport &report, SteadyTime now)
{
    const SteadyTime at = now - report.age;
    if (now - at > KeptFor)
        return false;
    const bool isNew = !isShared(report.service, now);
    SteadyTime &last = m_namedAt[report.service];
    last = std::max(last, at);
    return isNew;
}

std::vector<RejectionReport> SlotShares::reports(SteadyTime now) const
{
    std::vector<RejectionReport> reports;
    for (const auto &[service, at] : m_namedAt) {
        if (now - at <= KeptFor)
            reports.push_back({ service, std::chrono::duration_cast<milliseconds>(now - at) });
    }
    return reports;
}

bool SlotShares::isShared(const std::string &service, SteadyTime now) const
{
    const auto found = m_namedAt.find(service);
    return found != m_namedAt.end() && now - found->second <= KeptFor;
}

std::size_t SlotShares::usedSlots(const ServerState &server)
{
    const double slots = std::max(server.info.slots, 1);
    return std::max<std::size_t>(static_cast<std::size_t>(slots * UsedFraction), 1);
}

std::vector<std::string> SlotShares::orderFor(const ServerState &server) const
{
    std::vector<std::string> near;
    std::vector<std::string> far;
    for (const auto &[name, dataCentre] : m_dataCentres)
        (dataCentre == server.info.dataCentre ? near : far).push_back(name);
    std::vector<std::string> order = rendezvousOrder(server.key, near);
    const std::vector<std::string> rest = rendezvousOrder(server.key, far);
    order.insert(order.end(), rest.begin(), rest.end());
    return order;
}

std::size_t SlotShares::placeFor(const ServerState &server) const
{
    const auto known = m_places.find(server.key);
    if (known != m_places.end())
        return known->second;
    const std::vector<std::string> order = orderFor(server);
    const auto place = std::find(order.begin(), order.end(), m_self) - order.begin();
    return m_places[server.key] = static_cast<std::size_t>(place);
}

std::size_t SlotShares::ownShare(const ServerState &server) const
{
    const std::size_t slots = usedSlots(server);
    // An instance that does not know the others yet takes as little as possible.
    const std::size_t instances = m_dataCentres.empty() ? slots : m_dataCentres.size();
    const std::size_t holders = std::min(slots, instances);
    const std::size_t place = m_dataCentres.empty() ? 0 : placeFor(server);
    if (place >= holders)
        return 0;
    return slots / holders + (place < slots % holders ? 1 : 0);
}

bool SlotShares::maySend(const ServerState &server, SteadyTime now) const
{
    // Called for every server of each request.
    if (m_namedAt.empty() || !isShared(server.info.service, now))
        return true;
    return server.own.inFlight < ownShare(server);
}

std::vector<std::string> SlotShares::holders(const ServerState &server) const
{
    std::vector<std::string> order = orderFor(server);
    order.resize(std::min(order.size(), usedSlots(server)));
    return order;
}

} // namespace snipestall::serving
