#pragma once

#include <optional>
#include <string>
#include <vector>

namespace snipestall::serving {

/// A customer with its keys and its quota, which applies to all instances together.
struct Customer
{
    std::string name;
    std::vector<std::string> keys;
    /// Overrides the route's priority if set.
    std::optional<int> priority;
    /// Units per second; 0 means unlimited.
    double ratePerSecond = 0;
    /// Units that may be taken at once when the quota has not been used for a while.
    double burst = 0;
    /// Whether the unit of the quota is a token; otherwise it is a request.
    bool countsTokens = false;
    /// Tokens that are charged for a request without a token count.
    double defaultTokens = 0;
};

} // namespace snipestall::serving
