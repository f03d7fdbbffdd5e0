#include "bench/experiment/results.hpp"

#include "snipestall/base/exception.hpp"

#include <algorithm>

namespace snipestall::policy::experiment {

namespace {

std::vector<std::string> distinctValues(const std::vector<Measurement> &measurements,
                                        std::string Measurement::*member)
{
    std::vector<std::string> names;
    for (const auto &measurement : measurements) {
        if (std::ranges::find(names, measurement.*member) == names.end()) {
            names.push_back(measurement.*member);
        }
    }
    return names;
}

} // namespace

const Measurement &Results::measurementOf(const std::string &deployment,
                                          const std::string &condition,
                                          const std::string &contestant) const
{
    const auto found = std::ranges::find_if(measurements, [&](const Measurement &entry) {
        return entry.deployment == deployment && entry.condition == condition
            && entry.contestant == contestant;
    });
    if (found == measurements.end()) {
        throw Exception(
            { ErrorKind::Internal,
              "no measurement of " + contestant + " under this condition and in this deployment" });
    }
    return *found;
}

std::vector<std::string> Results::deployments() const
{
    return distinctValues(measurements, &Measurement::deployment);
}

std::vector<std::string> Results::contestants() const
{
    return distinctValues(measurements, &Measurement::contestant);
}

} // namespace snipestall::policy::experiment
