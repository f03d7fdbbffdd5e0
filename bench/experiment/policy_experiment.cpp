// Compares World with simple load balancers on both deployments and writes the tables and the plot.
//
//     policy_experiment --seeds 3 --out docs/decisions

#include "bench/experiment/plot.hpp"
#include "bench/experiment/report.hpp"

#include <gflags/gflags.h>

#include <filesystem>
#include <fstream>
#include <iostream>

DEFINE_uint32(seeds, 3, "number of runs of each contestant under each condition");
DEFINE_uint64(first_seed, 101, "seed of the first run");
DEFINE_string(out, "docs/decisions", "directory of the report");
DEFINE_bool(
    fleets, true,
    "also search for the smallest fleet in target and compare a fixed fleet with one that the "
    "policy sizes");

namespace {

using namespace snipestall::policy;
using namespace snipestall::policy::experiment;

Results runExperiment()
{
    Results results;
    results.conditions = conditions();
    for (std::uint64_t i = 0; i < FLAGS_seeds; ++i) {
        results.seeds.push_back(FLAGS_first_seed + i);
    }
    for (const auto *name : { "karadeniz", "midlands" }) {
        const auto deployment = *harness::makeDeployment(name);
        for (const auto &condition : results.conditions) {
            for (const auto &contestant : contestants()) {
                results.measurements.push_back(
                    measure(deployment, condition, contestant, results.seeds));
            }
        }
        if (!FLAGS_fleets) {
            continue;
        }
        for (const auto &contestant : contestants()) {
            results.smallestFleets.push_back(
                findSmallestFleet(deployment, contestant, results.seeds));
        }
        for (const auto &contestant : capacityContestants()) {
            results.capacityMeasurements.push_back(
                measure(deployment, risingLoad(), contestant, results.seeds));
        }
    }
    return results;
}

bool writeFile(const std::filesystem::path &file, const std::string &text)
{
    std::ofstream out(file);
    out << text;
    out.flush();
    return out.good();
}

} // namespace

int main(int argc, char **argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const auto results = runExperiment();
    const std::filesystem::path out(FLAGS_out);
    const bool written = writeFile(out / "policy-experiment.md", report(results))
        && writeFile(out / "policy-experiment.svg", plot(results));
    if (!written) {
        std::cerr << "cannot write the report to " << out
                  << ": create the directory or choose another with --out\n";
        return 1;
    }
    return 0;
}
