#include "snipestall/settings/effective_settings.hpp"

#include <algorithm>

namespace snipestall::settings {

const ServiceSettings *EffectiveSettings::service(std::string_view name) const
{
    const auto it = std::find_if(services.begin(), services.end(),
                                 [&](const ServiceSettings &s) { return s.service == name; });
    return it == services.end() ? nullptr : &*it;
}

const ServiceSettings *EffectiveSettings::serviceOfModel(std::string_view model) const
{
    for (const ServiceSettings &candidate : services) {
        const auto &models = candidate.models;
        if (std::find(models.begin(), models.end(), model) != models.end())
            return &candidate;
    }
    return nullptr;
}

const LeafSettings *EffectiveSettings::leaf(std::string_view customer, std::string_view name) const
{
    const auto it = std::find_if(leaves.begin(), leaves.end(), [&](const LeafSettings &l) {
        return l.customer == customer && l.service == name;
    });
    return it == leaves.end() ? nullptr : &*it;
}

} // namespace snipestall::settings
