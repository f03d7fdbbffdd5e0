#include "snipestall/serving/unseen_work.hpp"

namespace snipestall::serving {

void UnseenWork::promptSent(const std::string &service, double unreadTokens, double cachedTokens,
                            SteadyTime now)
{
    Rates &rates = m_services[service];
    rates.all.add(unreadTokens, Period, now);
    if (cachedTokens < (unreadTokens + cachedTokens) * BindingFraction)
        rates.free.add(unreadTokens, Period, now);
}

double UnseenWork::at(const std::string &service, double perSecond, SteadyTime now) const
{
    if (m_instances <= 1)
        return 0;
    double freePart = 1;
    if (const auto found = m_services.find(service); found != m_services.end()) {
        const double all = found->second.all.at(Period, now);
        if (all > 0)
            freePart = found->second.free.at(Period, now) / all;
    }
    const std::chrono::duration<double> age =
        m_instances > MaxDirectInstances ? AgeThroughHub : DirectAge;
    const double others = static_cast<double>(m_instances - 1) / static_cast<double>(m_instances);
    return perSecond * freePart * others * age.count();
}

} // namespace snipestall::serving
