#include "policy/scenario/expectation_reader.hpp"

#include "policy/harness/deployment.hpp"
#include "policy/harness/fairness.hpp"

#include <algorithm>
#include <iomanip>
#include <map>
#include <sstream>

namespace snipestall::policy::harness {

namespace {

using Count = std::uint64_t (*)(const Ledger &ledger);
using Fraction = double (*)(const Tally &tally);

constexpr double Percent = 100;

/// Counts of the ledger; each must be at most the limit that the scenario gives.
const std::map<std::string, Count> Counts {
    { "lost", [](const Ledger &ledger) -> std::uint64_t { return ledger.lost(); } },
    { "doubled", [](const Ledger &ledger) -> std::uint64_t { return ledger.unsafeRetries; } },
    { "answers_to_closed_calls",
      [](const Ledger &ledger) -> std::uint64_t { return ledger.answersToClosedCalls; } },
    { "commands_for_unknown",
      [](const Ledger &ledger) -> std::uint64_t { return ledger.commandsForUnknown; } },
    { "refusals_without_time",
      [](const Ledger &ledger) -> std::uint64_t { return ledger.refusalsWithoutTime; } },
    { "dispatches_to_leaving",
      [](const Ledger &ledger) -> std::uint64_t { return ledger.dispatchesToLeaving; } },
    { "dispatches_to_full",
      [](const Ledger &ledger) -> std::uint64_t { return ledger.dispatchesToFull; } },
    { "servers_crashed",
      [](const Ledger &ledger) -> std::uint64_t { return ledger.serversCrashed; } },
    { "lost_tokens", [](const Ledger &ledger) -> std::uint64_t { return ledger.lostTokens({}); } },
};

/// Fractions of the calls of one urgency; each must be at least the limit that the scenario gives.
const std::map<std::string, Fraction> Fractions {
    { "in_target", [](const Tally &tally) { return tally.shareInTarget(); } },
    { "answered",
      [](const Tally &tally) {
          return tally.calls == 0 ? 1.0 : static_cast<double>(tally.answered) / tally.calls;
      } },
};

std::string describe(const Tally &tally)
{
    std::ostringstream text;
    text << tally.calls << " calls: " << tally.answered << " answered, " << tally.inTarget
         << " in target, " << tally.refused << " refused, " << tally.expired << " expired, "
         << tally.failed << " failed, " << tally.cancelled << " cancelled, " << tally.lost
         << " lost; first token p50/p99 "
         << std::chrono::duration_cast<std::chrono::milliseconds>(tally.quantile(0.5)).count()
         << "/"
         << std::chrono::duration_cast<std::chrono::milliseconds>(tally.quantile(0.99)).count()
         << " ms";
    return text.str();
}

Expectation atMost(const std::string &path, Count count, std::uint64_t limit)
{
    return [path, count, limit](const Ledger &ledger,
                                const Deployment &) -> std::optional<std::string> {
        const auto found = count(ledger);
        if (found <= limit) {
            return std::nullopt;
        }
        return path + ": " + std::to_string(found) + ", at most " + std::to_string(limit);
    };
}

Expectation atLeast(const std::string &path, Fraction fraction, const std::string &urgency,
                    Span span, double least)
{
    return [=](const Ledger &ledger, const Deployment &) -> std::optional<std::string> {
        const auto tallies = ledger.byUrgency(span);
        const auto found = tallies.find(urgency);
        if (found == tallies.end()) {
            return path + ": no calls";
        }
        const double share = fraction(found->second);
        if (share >= least) {
            return std::nullopt;
        }
        std::ostringstream text;
        text << path << ": " << std::setprecision(4) << share * Percent << "%, at least "
             << least * Percent << "%; " << describe(found->second);
        return text.str();
    };
}

Expectation fairAtLeast(const std::string &path, Span span, double least)
{
    return [=](const Ledger &ledger, const Deployment &deployment) -> std::optional<std::string> {
        const auto tallies = ledger.byCustomer(span, deployment.modelService);
        const double found = fairness(tallies, deployment.customers);
        if (found >= least) {
            return std::nullopt;
        }
        std::string text =
            path + ": " + std::to_string(found) + ", at least " + std::to_string(least);
        for (const auto &[customer, tally] : tallies) {
            text += "\n    " + customer + ": " + describe(tally);
        }
        return text;
    };
}

std::string largestCustomer(const Deployment &deployment)
{
    return std::ranges::max_element(deployment.customers, {}, &CustomerShare::demand)->name;
}

Expectation largestAnsweredAtMost(const std::string &path, Span span, std::uint32_t limit)
{
    return [=](const Ledger &ledger, const Deployment &deployment) -> std::optional<std::string> {
        const auto tallies = ledger.byCustomer(span, deployment.modelService);
        const auto &tally = tallies.at(largestCustomer(deployment));
        if (tally.answered <= limit) {
            return std::nullopt;
        }
        return path + ": at most " + std::to_string(limit) + "; " + describe(tally);
    };
}

Expectation othersInTarget(const std::string &path, Span span, double least)
{
    return [=](const Ledger &ledger, const Deployment &deployment) -> std::optional<std::string> {
        for (const auto &[customer, tally] : ledger.byCustomer(span, deployment.modelService)) {
            if (customer != largestCustomer(deployment) && tally.shareInTarget() < least) {
                return path + ", " + customer + ": " + describe(tally);
            }
        }
        return std::nullopt;
    };
}

void readFractions(YamlFields &window, const std::string &key, Span span, Faults &faults,
                   std::vector<Expectation> &expectations)
{
    const auto node = window.child(key);
    if (!node.IsDefined()) {
        return;
    }
    YamlFields fields(node, window.pathOf(key), faults);
    for (const auto &urgency : { "urgent", "normal", "patient", "plain" }) {
        if (fields.has(urgency)) {
            expectations.push_back(atLeast(fields.pathOf(urgency), Fractions.at(key), urgency, span,
                                           fields.number(urgency)));
        }
    }
    fields.rejectOthers();
}

void readWindow(const YAML::Node &node, const std::string &path, Faults &faults,
                std::vector<Expectation> &expectations)
{
    YamlFields fields(node, path, faults);
    const Span span { Time { fields.duration("from", Duration::zero()) },
                      Time { fields.duration("to", Duration::max()) } };
    for (const auto &[key, fraction] : Fractions) {
        readFractions(fields, key, span, faults, expectations);
    }
    if (fields.has("fairness")) {
        expectations.push_back(
            fairAtLeast(fields.pathOf("fairness"), span, fields.number("fairness")));
    }
    if (fields.has("largest_customer_answered")) {
        const auto limit = static_cast<std::uint32_t>(fields.number("largest_customer_answered"));
        expectations.push_back(
            largestAnsweredAtMost(fields.pathOf("largest_customer_answered"), span, limit));
    }
    if (fields.has("others_in_target")) {
        expectations.push_back(othersInTarget(fields.pathOf("others_in_target"), span,
                                              fields.number("others_in_target")));
    }
    fields.rejectOthers();
}

} // namespace

std::vector<Expectation> readExpectations(const YAML::Node &node, const std::string &path,
                                          Faults &faults)
{
    std::vector<Expectation> expectations;
    YamlFields fields(node.IsDefined() ? node : YAML::Node(), path, faults);
    for (const auto &[key, count] : Counts) {
        if (fields.has(key)) {
            const auto limit = static_cast<std::uint64_t>(fields.number(key));
            expectations.push_back(atMost(fields.pathOf(key), count, limit));
        }
    }
    const auto windows = fields.child("windows");
    for (std::size_t i = 0; windows.IsDefined() && i < windows.size(); ++i) {
        readWindow(windows[i], fields.pathOf("windows") + "/" + std::to_string(i), faults,
                   expectations);
    }
    fields.rejectOthers();
    if (expectations.empty()) {
        faults.push_back({ path, "nothing", "at least one expectation" });
    }
    return expectations;
}

} // namespace snipestall::policy::harness
