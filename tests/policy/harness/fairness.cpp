#include "policy/harness/fairness.hpp"

#include <algorithm>
#include <limits>

namespace snipestall::policy::harness {

namespace {

struct Claim
{
    double weight = 0;
    double asked = 0;
    double answered = 0;
    double due = 0;
    bool isFull = false;
};

/// Hands out by weight; what a customer doesn't ask for goes round again to the others.
void divide(std::vector<Claim> &claims, double total)
{
    while (total > 1) {
        double weight = 0;
        for (const auto &claim : claims) {
            weight += claim.isFull ? 0 : claim.weight;
        }
        if (weight <= 0) {
            return;
        }
        double given = 0;
        for (auto &claim : claims) {
            if (claim.isFull) {
                continue;
            }
            const double part = std::min(total * claim.weight / weight, claim.asked - claim.due);
            claim.due += part;
            given += part;
            claim.isFull = claim.asked - claim.due < 1;
        }
        total -= given;
    }
}

} // namespace

double fairness(const std::map<std::string, Tally> &byCustomer,
                const std::vector<CustomerShare> &customers)
{
    std::vector<Claim> claims;
    double total = 0;
    for (const auto &customer : customers) {
        const auto found = byCustomer.find(customer.name);
        if (found == byCustomer.end()) {
            continue;
        }
        const auto &tally = found->second;
        claims.push_back({ customer.weight, static_cast<double>(tally.tokensAsked),
                           static_cast<double>(tally.tokensAnswered) });
        total += claims.back().answered;
    }
    divide(claims, total);
    double least = std::numeric_limits<double>::max();
    double greatest = 0;
    for (const auto &claim : claims) {
        const double got = claim.due > 0 ? claim.answered / claim.due : 1;
        least = std::min(least, got);
        greatest = std::max(greatest, got);
    }
    return greatest > 0 ? least / greatest : 0;
}

} // namespace snipestall::policy::harness
