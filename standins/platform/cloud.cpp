#include "platform/cloud.hpp"

#include <algorithm>

namespace snipestall::standins {

using platform::ListedInstance;

Cloud::Cloud()
    : m_listing({})
{ }

void Cloud::add(SteadyTime now, ListedInstance instance)
{
    InstancesByName listing = m_listing.latest();
    m_noticeEnds.erase(instance.name);
    listing.insert_or_assign(instance.name, std::move(instance));
    m_listing.set(now, std::move(listing));
}

void Cloud::remove(SteadyTime now, const std::string &name)
{
    InstancesByName listing = m_listing.latest();
    listing.erase(name);
    m_noticeEnds.erase(name);
    m_listing.set(now, std::move(listing));
}

std::optional<ListedInstance> Cloud::markLeaving(SteadyTime now, const std::string &name,
                                                 std::chrono::milliseconds left)
{
    InstancesByName listing = m_listing.latest();
    const auto found = listing.find(name);
    if (found == listing.end())
        return std::nullopt;
    found->second.leaving = true;
    found->second.noticeLeft = left;
    const ListedInstance noticed = found->second;
    m_noticeEnds[name] = now + left;
    m_listing.set(now, std::move(listing));
    return noticed;
}

std::vector<ListedInstance> Cloud::list(SteadyTime now, const std::string &dataCentre,
                                        std::chrono::milliseconds lag) const
{
    std::vector<ListedInstance> instances;
    for (const auto &[name, listed] : m_listing.at(now - lag)) {
        if (!dataCentre.empty() && listed.dataCentre != dataCentre)
            continue;
        ListedInstance instance = listed;
        if (instance.leaving)
            instance.noticeLeft = noticeLeft(now, name);
        instances.push_back(std::move(instance));
    }
    return instances;
}

std::optional<std::chrono::milliseconds> Cloud::noticeLeft(SteadyTime now,
                                                           const std::string &name) const
{
    const auto end = m_noticeEnds.find(name);
    if (end == m_noticeEnds.end())
        return std::nullopt;
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(end->second - now);
    return std::max(left, std::chrono::milliseconds(0));
}

bool Cloud::acceptFencing(const std::string &dataCentre, std::uint64_t fencing)
{
    std::uint64_t &greatest = m_fencing[dataCentre];
    if (fencing < greatest)
        return false;
    greatest = fencing;
    return true;
}

bool Cloud::started(const std::string &order) const
{
    return std::any_of(m_starts.begin(), m_starts.end(),
                       [&order](const Start &start) { return start.order.orderId == order; });
}

std::string Cloud::start(const platform::StartOrder &order)
{
    for (const auto &start : m_starts) {
        if (start.order.orderId == order.orderId)
            return start.instance;
    }
    std::string name = order.dataCentre + "-started-" + std::to_string(m_starts.size() + 1);
    m_starts.push_back({ order, name });
    return name;
}

bool Cloud::release(SteadyTime now, const std::string &name)
{
    bool known = m_listing.latest().contains(name);
    for (auto &start : m_starts) {
        if (start.instance != name)
            continue;
        start.released = true;
        known = true;
    }
    remove(now, name);
    return known;
}

std::string Cloud::dataCentreOf(const std::string &name) const
{
    const auto &listing = m_listing.latest();
    if (const auto listed = listing.find(name); listed != listing.end())
        return listed->second.dataCentre;
    for (const auto &start : m_starts) {
        if (start.instance == name)
            return start.order.dataCentre;
    }
    return {};
}

} // namespace snipestall::standins
