#pragma once

#include "snipestall/settings/resolved_value.hpp"

#include <string>
#include <vector>

namespace snipestall::settings {

class Tree;

/// Selects a part of a data centre's effective settings. An empty customer or service selects all.
struct EffectiveQuery
{
    std::string dataCentre;
    std::string customer;
    std::string service;
};

/// Every value in force with the level that it comes from: those of the services, of the instance
/// classes and of each customer's use of each service. Keys with `local/` hold this data centre's
/// part of the limits. Empty if the tree has no such data centre, customer or service.
std::vector<ResolvedValue> explainEffective(const Tree &tree, const EffectiveQuery &query);

} // namespace snipestall::settings
