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

/// One version of the settings tree as one data centre sees it: plain values, nothing left to
/// resolve. Immutable once built; replaced as a whole by a newer version.
struct EffectiveSettings
{
    std::uint64_t version = 0;
    std::string dataCentre;
    std::vector<ServiceSettings> services;
    std::vector<LeafSettings> leaves;
    std::vector<ClassSettings> classes;
    /// SHA-256 in lower-case hex of a caller's bearer key -> customer.
    std::map<std::string, std::string, std::less<>> customerByKeyHash;
    /// SHA-256 in lower-case hex of an operator's bearer key -> operator's name.
    std::map<std::string, std::string, std::less<>> operatorByKeyHash;

    [[nodiscard]] const ServiceSettings *service(std::string_view name) const;
    [[nodiscard]] const ServiceSettings *serviceOfModel(std::string_view model) const;
    [[nodiscard]] const LeafSettings *leaf(std::string_view customer, std::string_view name) const;
};

} // namespace snipestall::settings
