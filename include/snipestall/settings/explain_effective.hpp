#pragma once

#include "snipestall/settings/resolved_value.hpp"

#include <string>
#include <vector>

namespace snipestall::settings {

class Tree;

/// Which part of a data centre's view is asked for; empty names stand for all.
struct EffectiveQuery
{
    std::string dataCentre;
    std::string customer;
    std::string service;
};

/// Every value in force with the level that it comes from: the services, the classes, and each
/// customer's use of each service. `local/...` are this data centre's parts of the limits.
/// Empty if no such data centre, customer or service is in the tree.
std::vector<ResolvedValue> explainEffective(const Tree &tree, const EffectiveQuery &query);

} // namespace snipestall::settings
