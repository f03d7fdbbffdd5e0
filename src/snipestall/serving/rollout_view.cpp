#include "snipestall/serving/rollout_view.hpp"

#include "snipestall/base/random.hpp"

#include <utility>

namespace snipestall::serving {

const RolloutView::Service *RolloutView::find(const std::string &service) const
{
    const auto found = m_services.find(service);
    return found == m_services.end() ? nullptr : &found->second;
}

bool RolloutView::isActive(const Service &service)
{
    if (!service.order)
        return false;
    const bool concluded =
        service.stage && service.stage->order == service.order->id && isFinal(service.stage->step);
    return !concluded;
}

bool RolloutView::follows(const Service &service, SteadyTime now)
{
    if (!isActive(service) || !service.stage || service.stage->order != service.order->id)
        return false;
    // The old servers may be stopped without another word.
    if (service.stage->step == RolloutStep::Completing)
        return true;
    return now - service.stageAt <= StageValidFor;
}

void RolloutView::serverListed(const std::string &service, const std::string &version,
                               SteadyTime now)
{
    if (!m_enabled)
        return;
    Service &known = m_services[service];
    const bool isTarget = known.order && known.order->version == version;
    if (isTarget || known.accepted.contains(version) || known.barred.contains(version))
        return;
    // With a single version there is nothing to choose.
    if (known.accepted.empty() && known.unconfirmed.empty())
        known.accepted.insert(version);
    else if (known.unconfirmed.size() < MaxVersions)
        known.unconfirmed.try_emplace(version, now);
}

void RolloutView::ordersKnownAsOf(SteadyTime time)
{
    for (auto &[name, service] : m_services) {
        for (auto at = service.unconfirmed.begin(); at != service.unconfirmed.end();) {
            if (at->second + UnorderedFor > time) {
                ++at;
                continue;
            }
            if (service.accepted.size() < MaxVersions)
                service.accepted.insert(at->first);
            at = service.unconfirmed.erase(at);
        }
    }
}

bool RolloutView::orderReceived(const RolloutOrder &order)
{
    if (!m_enabled)
        return false;
    Service &service = m_services[order.service];
    if (service.order && service.order->id >= order.id)
        return false;
    if (isActive(service) && service.order->version != order.version
        && !service.accepted.contains(service.order->version))
        service.barred.insert(service.order->version);
    service.order = order;
    service.badInRow = 0;
    service.pausedUntil = {};
    service.barred.erase(order.version);
    service.unconfirmed.erase(order.version);
    // An order for the only version in service changes nothing; otherwise the target has to prove
    // itself.
    if (service.accepted.size() > 1)
        service.accepted.erase(order.version);
    if (service.stage && service.stage->order == order.id && isFinal(service.stage->step))
        conclude(service);
    return true;
}

void RolloutView::orderRemoved(const std::string &service)
{
    const auto found = m_services.find(service);
    if (found == m_services.end() || !isActive(found->second))
        return;
    Service &known = found->second;
    if (!known.accepted.contains(known.order->version))
        known.barred.insert(known.order->version);
    known.order.reset();
}

void RolloutView::conclude(Service &service)
{
    const std::string &version = service.order->version;
    if (service.stage->step == RolloutStep::RolledBack) {
        if (!service.accepted.contains(version))
            service.barred.insert(version);
        return;
    }
    service.barred.insert(service.accepted.begin(), service.accepted.end());
    service.barred.erase(version);
    service.accepted = { version };
}

bool RolloutView::stageReceived(const RolloutStage &stage, SteadyTime now)
{
    if (!m_enabled)
        return false;
    Service &service = m_services[stage.service];
    if (service.stage) {
        const RolloutStage &known = *service.stage;
        if (std::pair(stage.order, stage.number) <= std::pair(known.order, known.number))
            return false;
        // A verdict is never taken back.
        if (stage.order == known.order && isFinal(known.step))
            return false;
    }
    const bool isNewStep =
        !service.stage || service.stage->order != stage.order || service.stage->step != stage.step;
    service.stage = stage;
    service.stageAt = now;
    if (service.order && service.order->id == stage.order && isFinal(stage.step))
        conclude(service);
    return isNewStep;
}

void RolloutView::versionsBarred(const std::string &service, const std::set<std::string> &versions)
{
    if (!m_enabled)
        return;
    Service &known = m_services[service];
    for (const std::string &version : versions) {
        if (known.order && known.order->version == version && isActive(known))
            continue;
        known.barred.insert(version);
        known.unconfirmed.erase(version);
        // A single version that was accepted when it was first seen.
        known.accepted.erase(version);
    }
}

const RolloutOrder *RolloutView::activeOrder(const std::string &service) const
{
    const Service *known = find(service);
    return known != nullptr && isActive(*known) ? &*known->order : nullptr;
}

std::vector<RolloutOrder> RolloutView::activeOrders() const
{
    std::vector<RolloutOrder> orders;
    for (const auto &[name, service] : m_services) {
        if (isActive(service))
            orders.push_back(*service.order);
    }
    return orders;
}

std::vector<RolloutStage> RolloutView::stages() const
{
    std::vector<RolloutStage> stages;
    for (const auto &[name, service] : m_services) {
        if (service.stage)
            stages.push_back(*service.stage);
    }
    return stages;
}

std::uint64_t RolloutView::followedNumber(const std::string &service, SteadyTime now) const
{
    const Service *known = find(service);
    return known != nullptr && follows(*known, now) ? known->stage->number : 0;
}

std::set<std::string> RolloutView::barred(const std::string &service) const
{
    const Service *known = find(service);
    return known == nullptr ? std::set<std::string>() : known->barred;
}

std::set<std::string> RolloutView::inService(const std::string &service) const
{
    const Service *known = find(service);
    return known == nullptr ? std::set<std::string>() : known->accepted;
}

VersionChoice RolloutView::choose(const std::string &service, const std::string &route, bool mayTry,
                                  Random &random, SteadyTime now) const
{
    const Service *known = m_enabled ? find(service) : nullptr;
    if (known == nullptr)
        return VersionChoice::Any;
    if (!follows(*known, now))
        return VersionChoice::Old;
    switch (known->stage->step) {
    case RolloutStep::Switched:
        return VersionChoice::New;
    case RolloutStep::Completing:
        return VersionChoice::NewOnly;
    case RolloutStep::Trial:
    case RolloutStep::Growing:
        return mayTry && now >= known->pausedUntil
                && random.uniform() < known->stage->shareOf(route)
            ? VersionChoice::New
            : VersionChoice::Old;
    default:
        return VersionChoice::Old;
    }
}

bool RolloutView::allows(const std::string &service, const std::string &version,
                         VersionChoice choice) const
{
    const Service *known = find(service);
    if (choice == VersionChoice::Any || known == nullptr)
        return true;
    if (choice == VersionChoice::Old)
        return known->accepted.contains(version);
    return known->order && known->order->version == version;
}

bool RolloutView::maySend(const std::string &service, const std::string &version,
                          SteadyTime now) const
{
    const Service *known = m_enabled ? find(service) : nullptr;
    if (known == nullptr)
        return true;
    const bool following = follows(*known, now);
    if (known->accepted.contains(version))
        return !following || known->stage->step != RolloutStep::Completing
            || known->order->version == version;
    return following && known->order->version == version
        && known->stage->step != RolloutStep::Waiting;
}

bool RolloutView::isOnTrial(const std::string &service, const std::string &version) const
{
    const Service *known = find(service);
    return known != nullptr && isActive(*known) && known->order->version == version
        && !known->accepted.contains(version);
}

std::uint32_t RolloutView::serversInUse(const std::string &service) const
{
    const Service *known = find(service);
    return known == nullptr || !known->stage ? 0 : known->stage->servers;
}

void RolloutView::newVersionAnswered(const std::string &service, bool good, SteadyTime now)
{
    const auto found = m_services.find(service);
    if (found == m_services.end())
        return;
    Service &known = found->second;
    known.badInRow = good ? 0 : known.badInRow + 1;
    if (known.badInRow < MaxBadInRow)
        return;
    known.badInRow = 0;
    known.pausedUntil = now + PauseAfterBad;
}

} // namespace snipestall::serving
