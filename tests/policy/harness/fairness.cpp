#include "policy/harness/fairness.hpp"

#include <algorithm>
#include <limits>

namespace snipestall::policy::harness {

namespace {

struct Entitlement
{
    double weight = 0;
    double asked = 0;
    double answered = 0;
    double due = 0;
    bool isSatisfied = false;
};

/// Divides `total` by weight; what a customer does not ask for is divided again among the others.
void divide(std::vector<Entitlement> &entitlements, double total)
{
    while (total > 1) {
        double weight = 0;
        for (const auto &entitlement : entitlements) {
            weight += entitlement.isSatisfied ? 0 : entitlement.weight;
        }
        if (weight <= 0) {
            return;
        }
        double given = 0;
        for (auto &entitlement : entitlements) {
            if (entitlement.isSatisfied) {
                continue;
            }
            const double grant =
                std::min(total * entitlement.weight / weight, entitlement.asked - entitlement.due);
            entitlement.due += grant;
            given += grant;
            entitlement.isSatisfied = entitlement.asked - entitlement.due < 1;
        }
        total -= given;
    }
}

} // namespace

double fairness(const std::map<std::string, Tally> &byCustomer,
                const std::vector<CustomerShare> &customers)
{
    std::vector<Entitlement> entitlements;
    double total = 0;
    for (const auto &customer : customers) {
        const auto found = byCustomer.find(customer.name);
        if (found == byCustomer.end()) {
            continue;
        }
        const auto &tally = found->second;
        entitlements.push_back({ customer.weight, static_cast<double>(tally.tokensAsked),
                                 static_cast<double>(tally.tokensAnswered) });
        total += entitlements.back().answered;
    }
    divide(entitlements, total);
    double least = std::numeric_limits<double>::max();
    double greatest = 0;
    for (const auto &entitlement : entitlements) {
        const double ratio = entitlement.due > 0 ? entitlement.answered / entitlement.due : 1;
        least = std::min(least, ratio);
        greatest = std::max(greatest, ratio);
    }
    return greatest > 0 ? least / greatest : 0;
}

} // namespace snipestall::policy::harness
