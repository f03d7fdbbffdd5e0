#include "limit_shares.hpp"

#include "snipestall/settings/document.hpp"

#include "path.hpp"

#include <algorithm>
#include <cmath>

namespace snipestall::settings {
namespace {

/// Keeps 0.29 * 100 from being counted as 28.
constexpr double Rounding = 1e-9;

struct Part
{
    std::size_t index = 0;
    std::uint32_t whole = 0;
    double remainder = 0;
};

std::string ownSection(std::string_view customer)
{
    return joinPath("customers", customer) + "/shares/";
}

double shareIn(const Document &document, std::string_view customer, const std::string &dataCentre)
{
    const Value *own =
        customer.empty() ? nullptr : document.find(ownSection(customer) + dataCentre);
    if (own)
        return std::get<double>(*own);
    const Value *shared = document.find("data_centres/" + dataCentre + "/share");
    return shared ? std::get<double>(*shared) : 0.0;
}

} // namespace

LimitShares LimitShares::of(const Document &document, std::string_view customer)
{
    LimitShares shares;
    for (std::string &name : document.names("data_centres")) {
        const double share = shareIn(document, customer, name);
        shares.m_shares.push_back({ std::move(name), share });
    }
    return shares;
}

bool LimitShares::hasOwn(const Document &document, std::string_view customer)
{
    const std::string section = ownSection(customer);
    const auto first = document.values.lower_bound(section);
    return first != document.values.end() && first->first.starts_with(section);
}

double LimitShares::share(std::string_view dataCentre) const
{
    for (const Share &share : m_shares) {
        if (share.dataCentre == dataCentre)
            return share.share;
    }
    return 0;
}

double LimitShares::sum() const
{
    double sum = 0;
    for (const Share &share : m_shares)
        sum += share.share;
    return sum;
}

// Each data centre divides by itself, without asking the others. Rounding each part up would pass
// the limit, rounding each down would lose up to one request a data centre, and a limit of 1 would
// allow none at all. The largest remainders get what is left, in an order that all compute alike.
std::uint32_t LimitShares::divide(std::uint32_t limit, std::string_view dataCentre) const
{
    std::vector<Part> parts;
    auto left = static_cast<std::uint32_t>(std::floor(limit * sum() + Rounding));
    for (std::size_t i = 0; i < m_shares.size(); ++i) {
        const double exact = limit * m_shares[i].share;
        const double whole = std::floor(exact + Rounding);
        parts.push_back({ i, static_cast<std::uint32_t>(whole), exact - whole });
        left -= std::min(left, parts.back().whole);
    }
    std::stable_sort(parts.begin(), parts.end(),
                     [](const Part &a, const Part &b) { return a.remainder > b.remainder; });
    for (const Part &part : parts) {
        const std::uint32_t extra = left > 0 ? 1 : 0;
        left -= extra;
        if (m_shares[part.index].dataCentre == dataCentre)
            return part.whole + extra;
    }
    return 0;
}

} // namespace snipestall::settings
