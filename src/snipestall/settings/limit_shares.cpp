#include "limit_shares.hpp"

#include "snipestall/settings/document.hpp"

#include "path.hpp"

#include <algorithm>
#include <cmath>

namespace snipestall::settings {
namespace {

/// Added before rounding down, because 0.29 * 100 is slightly less than 29 in binary and would
/// count as 28.
constexpr double RoundingTolerance = 1e-9;

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

bool LimitShares::hasOwnShares(const Document &document, std::string_view customer)
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

// Each data centre computes its part without communicating with the others. Rounding every part up
// would exceed the limit. Rounding every part down would lose up to one request per data centre,
// and a limit of 1 would allow no request at all. So the rest goes to the largest remainders, in an
// order that is the same in every data centre.
std::uint32_t LimitShares::divide(std::uint32_t limit, std::string_view dataCentre) const
{
    std::vector<Part> parts;
    auto remaining = static_cast<std::uint32_t>(std::floor(limit * sum() + RoundingTolerance));
    for (std::size_t i = 0; i < m_shares.size(); ++i) {
        const double exact = limit * m_shares[i].share;
        const double whole = std::floor(exact + RoundingTolerance);
        parts.push_back({ i, static_cast<std::uint32_t>(whole), exact - whole });
        remaining -= std::min(remaining, parts.back().whole);
    }
    std::stable_sort(parts.begin(), parts.end(),
                     [](const Part &a, const Part &b) { return a.remainder > b.remainder; });
    for (const Part &part : parts) {
        const std::uint32_t extra = remaining > 0 ? 1 : 0;
        remaining -= extra;
        if (m_shares[part.index].dataCentre == dataCentre)
            return part.whole + extra;
    }
    return 0;
}

} // namespace snipestall::settings
