#pragma once

#include "snipestall/settings/class_settings.hpp"
#include "snipestall/settings/leaf_settings.hpp"
#include "snipestall/settings/service_settings.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace snipestall::settings {

/// One version of the settings tree, resolved for one data centre: inheritance and shares are
/// already applied. Immutable once built; a newer version replaces it as a whole.
struct EffectiveSettings
{
    std::uint64_t version = 0;
    std::string dataCentre;
    std::vector<ServiceSettings> services;
    std::vector<LeafSettings> leaves;
    std::vector<ClassSettings> classes;
    /// Customer by the SHA-256 of a caller's bearer key, in lower-case hex.
    std::map<std::string, std::string, std::less<>> customerByKeyHash;
    /// Operator's name by the SHA-256 of the operator's bearer key, in lower-case hex.
    std::map<std::string, std::string, std::less<>> operatorByKeyHash;

    /// Null if no such service exists.
    [[nodiscard]] const ServiceSettings *service(std::string_view name) const;
    /// The service that offers a model; null if none does.
    [[nodiscard]] const ServiceSettings *serviceOfModel(std::string_view model) const;
    /// Null if the customer may not use a service of this name.
    [[nodiscard]] const LeafSettings *leaf(std::string_view customer, std::string_view name) const;
};

} // namespace snipestall::settings
