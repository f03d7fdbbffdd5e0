#pragma once

#include "policy/harness/deployment.hpp"
#include "policy/harness/ledger.hpp"

#include <map>
#include <string>
#include <vector>

namespace snipestall::policy::harness {

/// Weighted max-min fairness. For each customer, takes the ratio of its answered tokens to the
/// tokens it would have got if all answered tokens had been divided by weight and no customer had
/// got more than it asked for. Returns the smallest of these ratios divided by the greatest; 1 is
/// perfectly fair.
double fairness(const std::map<std::string, Tally> &byCustomer,
                const std::vector<CustomerShare> &customers);

} // namespace snipestall::policy::harness
