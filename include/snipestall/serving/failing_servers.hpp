#pragma once

#include <string>
#include <unordered_set>
#include <vector>

namespace snipestall::serving {

/// A backend server and the fraction of its recent answers that were failures, over all instances.
struct ServerFailures
{
    std::string server;
    double rate = 0;
};

/// Returns which of the servers of one service are to be avoided because they fail far more often
/// than the others.
///
/// Load: a server fails its requests at once while its health check succeeds. Harm: it always looks
/// idle and attracts more requests than any healthy server, and with many instances each of them
/// would have to fail requests there before it learns of it. Servers are compared with each other,
/// because avoiding servers does not help when all of them fail; at most a third is avoided, so
/// that the rest is not overloaded by what they would have carried.
std::unordered_set<std::string> failingServers(std::vector<ServerFailures> servers);

} // namespace snipestall::serving
