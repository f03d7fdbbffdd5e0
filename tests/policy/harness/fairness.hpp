#pragma once

#include "policy/harness/deployment.hpp"
#include "policy/harness/ledger.hpp"

#include <map>
#include <string>
#include <vector>

namespace snipestall::policy::harness {

/// Weighted max-min fairness: every customer's answered tokens over what the tokens answered in all
/// would have given it, had they been divided by weight and no customer got more than it asked for.
/// Returns the least over the greatest of these; 1 is perfectly fair.
double fairness(const std::map<std::string, Tally> &byCustomer,
                const std::vector<CustomerShare> &customers);

} // namespace snipestall::policy::harness
