#include "bench/experiment/report.hpp"

#include "bench/experiment/aims.hpp"
#include "bench/experiment/format.hpp"

#include <array>
#include <sstream>

namespace snipestall::policy::experiment {

namespace {

constexpr std::array<const char *, 4> Classes { "urgent", "normal", "patient", "plain" };

constexpr auto Preamble = R"(# The policy against plain balancers

Written by `policy_experiment`; don't edit. All contestants run on the same seeds, fleet, prices,
arrivals and faults, under a virtual clock; the model is in `tests/policy/harness`.
The fleet is fixed: what is reclaimed is replaced after the start time, once starts are granted, for
every contestant alike. Capacity decisions are part of the section on capacity alone.

A request is in target when its first token came within 1.2 s, the mean time between tokens is at most
35 ms and the answer was whole by the deadline; patient work needs the last of these alone. Refused
requests count as not in target. Callers do not come back.
)";

void writeConditions(std::ostream &out, const Results &results)
{
    out << "\nSeeds:";
    for (const auto seed : results.seeds) {
        out << " " << seed;
    }
    out << ".\n\n";
    for (const auto &condition : results.conditions) {
        out << "- **" << condition.name << "**"
            << (condition.description.empty() ? "" : ": " + condition.description) << "\n";
    }
}

void writeAims(std::ostream &out, const Results &results)
{
    out << "\n## Aims\n\n| deployment | aim | measured | met |\n|---|---|---|---|\n";
    for (const auto &aim : checkAims(results)) {
        out << "| " << aim.deployment << " | " << aim.text << " | " << aim.measured << " | "
            << (aim.isMet ? "yes" : "**no**") << " |\n";
    }
}

std::string rowPrefix(const Measurement &measurement)
{
    return "| " + measurement.condition + " | " + measurement.contestant + " |";
}

void writeShares(std::ostream &out, const Measurement &measurement)
{
    out << rowPrefix(measurement);
    for (const auto *name : Classes) {
        out << " "
            << (measurement.classes.contains(name) ? percent(measurement.shareInTarget(name)) : "-")
            << " |";
    }
    std::uint32_t refused = 0;
    std::uint32_t failed = 0;
    for (const auto &[name, tally] : measurement.classes) {
        refused += tally.refused + tally.expired;
        failed += tally.failed;
    }
    out << " " << refused << " | " << failed << " | " << measurement.lostCalls << " | "
        << measurement.unsafeRetries << " |\n";
}

void writeLatencies(std::ostream &out, const Measurement &measurement)
{
    out << rowPrefix(measurement);
    for (const auto *name : Classes) {
        const auto tally = measurement.classes.find(name);
        if (tally == measurement.classes.end()) {
            out << " - |";
            continue;
        }
        out << " " << milliseconds(tally->second.quantile(0.5)) << " / "
            << milliseconds(tally->second.quantile(0.95)) << " / "
            << milliseconds(tally->second.quantile(0.99)) << " |";
    }
    out << "\n";
}

void writeCosts(std::ostream &out, const Measurement &measurement)
{
    out << rowPrefix(measurement) << " " << decimal(measurement.goodput) << " | "
        << decimal(measurement.costPerMillionInTarget) << " | " << thousands(measurement.lostTokens)
        << " | " << thousands(measurement.missedTokens) << " | " << decimal(measurement.fairness)
        << " |\n";
}

using WriteRow = void (*)(std::ostream &out, const Measurement &measurement);

struct Table
{
    const char *title;
    const char *columns;
    int columnCount;
    WriteRow writeRow;
};

constexpr std::array<Table, 3> Tables { {
    { "Share in target",
      "urgent | normal | patient | plain | refused or expired | failed | lost | doubled", 8,
      writeShares },
    { "Time to first token, p50 / p95 / p99 in ms", "urgent | normal | patient | plain", 4,
      writeLatencies },
    { "Goodput, cost and recomputed tokens",
      "tokens in target/s | cost per million | recomputed after a loss | recomputed after a cache "
      "miss | fairness",
      5, writeCosts },
} };

void writeTable(std::ostream &out, const Results &results, const std::string &deployment,
                const Table &table)
{
    out << "\n### " << table.title << ", " << deployment << "\n\n| condition | policy | "
        << table.columns << " |\n|---|---|";
    for (int i = 0; i < table.columnCount; ++i) {
        out << "---|";
    }
    out << "\n";
    for (const auto &measurement : results.measurements) {
        if (measurement.deployment == deployment) {
            table.writeRow(out, measurement);
        }
    }
}

void writeSmallestFleets(std::ostream &out, const Results &results)
{
    out << "\n## Smallest fleet that keeps the target\n\nHalf of the whole fleet's load; servers "
           "are "
           "taken away one by one while every class stays 95% in target.\n\n"
           "| deployment | policy | model servers | price an hour |\n|---|---|---|---|\n";
    for (const auto &fleet : results.smallestFleets) {
        out << "| " << fleet.deployment << " | " << fleet.contestant << " | ";
        if (fleet.servers == 0) {
            out << "never in target | - |\n";
            continue;
        }
        out << fleet.servers << " | " << decimal(fleet.costPerHour) << " |\n";
    }
}

void writeCapacity(std::ostream &out, const Results &results)
{
    if (results.capacityMeasurements.empty()) {
        return;
    }
    out << "\n## Capacity decided by the policy\n\nHalf an hour at 30%, 80% and 30% load, ten "
           "minutes "
           "each. The fixed fleet is that of all other figures.\n\n| deployment | fleet | price an "
           "hour, "
           "plain servers too | cost per million in target | urgent | normal | patient | plain |\n"
           "|---|---|---|---|---|---|---|---|\n";
    for (const auto &measurement : results.capacityMeasurements) {
        out << "| " << measurement.deployment << " | " << measurement.contestant << " | "
            << decimal(measurement.costPerHour) << " | "
            << decimal(measurement.costPerMillionInTarget) << " |";
        for (const auto *name : Classes) {
            out << " " << percent(measurement.shareInTarget(name)) << " |";
        }
        out << "\n";
    }
}

} // namespace

std::string report(const Results &results)
{
    std::ostringstream out;
    out << Preamble;
    writeConditions(out, results);
    writeAims(out, results);
    writeSmallestFleets(out, results);
    writeCapacity(out, results);
    for (const auto &deployment : results.deployments()) {
        out << "\n## " << deployment << "\n";
        for (const auto &table : Tables) {
            writeTable(out, results, deployment, table);
        }
    }
    out << "\n![Share of urgent requests in target](policy-experiment.svg)\n";
    return out.str();
}

} // namespace snipestall::policy::experiment
