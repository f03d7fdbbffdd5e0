#pragma once

#include <optional>
#include <string>
#include <vector>

namespace snipestall::serving {

/// A customer with its keys and its quota over all instances.
struct Customer
{
    std::string name;
    std::vector<std::string> keys;
    /// Goes before the route's priority when set.
    std::optional<int> priority;
    /// Units a second; 0 for no limit.
    double ratePerSecond = 0;
    double burst = 0;
    /// Whether the unit of the quota is a token; otherwise it is a request.
    bool countsTokens = false;
    /// Tokens that a request without a token count stands for.
    double defaultTokens = 0;
};

} // namespace snipestall::serving
