#include "harness/topology_spec.hpp"

#include <algorithm>

namespace snipestall::harness {

std::vector<std::string> TopologySpec::dataCentres() const
{
    std::vector<std::string> names;
    for (const auto &entry : entries) {
        if (std::find(names.begin(), names.end(), entry.dataCentre) == names.end())
            names.push_back(entry.dataCentre);
    }
    return names;
}

TopologySpec TopologySpec::small()
{
    TopologySpec spec;
    spec.entries = { { "north-1", "north" },
                     { "north-2", "north" },
                     { "south-1", "south" },
                     { "south-2", "south" } };
    spec.servers = { { "engine-1", "north", "language", { "writer" } },
                     { "engine-2", "north", "language", { "writer" } },
                     { "engine-3", "south", "language", { "writer" } },
                     { "ledger-1", "north", "ledger", {} },
                     { "ledger-2", "south", "ledger", {} } };
    return spec;
}

} // namespace snipestall::harness
