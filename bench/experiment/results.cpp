#include "bench/experiment/results.hpp"

#include "snipestall/base/exception.hpp"

#include <algorithm>

namespace snipestall::policy::experiment {

namespace {

std::vector<std::string> distinct(const std::vector<Measurement> &measurements,
                                  std::string Measurement::*name)
{
    std::vector<std::string> names;
    for (const auto &found : measurements) {
        if (std::ranges::find(names, found.*name) == names.end()) {
            names.push_back(found.*name);
        }
    }
    return names;
}

} // namespace

const Measurement &Results::of(const std::string &deployment, const std::string &condition,
                               const std::string &contestant) const
{
    const auto found = std::ranges::find_if(measurements, [&](const Measurement &entry) {
        return entry.deployment == deployment && entry.condition == condition
            && entry.contestant == contestant;
    });
    if (found == measurements.end()) {
        throw Exception(
            { ErrorKind::Internal, "no measurement of " + contestant + "; run it first" });
    }
    return *found;
}

std::vector<std::string> Results::deployments() const
{
    return distinct(measurements, &Measurement::deployment);
}

std::vector<std::string> Results::contestants() const
{
    return distinct(measurements, &Measurement::contestant);
}

} // namespace snipestall::policy::experiment
