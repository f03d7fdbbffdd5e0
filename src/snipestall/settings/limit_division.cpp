#include "limit_division.hpp"

#include "snipestall/settings/document.hpp"

#include "resolver.hpp"

#include <algorithm>
#include <cmath>
#include <string>
#include <vector>

namespace snipestall::settings {
namespace {

/// Keeps 0.29 * 100 from being counted as 28.
constexpr double Rounding = 1e-9;

struct Part
{
    std::string dataCentre;
    std::uint32_t whole = 0;
    double remainder = 0;
};

std::vector<Part> partsOf(const Document &document, std::string_view customer, double limit)
{
    std::vector<Part> parts;
    for (std::string &name : document.names("data_centres")) {
        const double exact = limit * shareOf(document, customer, name);
        const double whole = std::floor(exact + Rounding);
        parts.push_back({ std::move(name), static_cast<std::uint32_t>(whole), exact - whole });
    }
    return parts;
}

std::uint32_t sumOf(const Document &document, std::string_view customer, double limit)
{
    double sum = 0;
    for (const std::string &name : document.names("data_centres"))
        sum += shareOf(document, customer, name);
    return static_cast<std::uint32_t>(std::floor(limit * sum + Rounding));
}

} // namespace

// Each data centre divides by itself, without asking the others. Rounding each part up would pass
// the limit, rounding each down would lose up to one request a data centre, and a limit of 1 would
// allow none at all. The largest remainders get what is left, in an order that all compute alike.
std::uint32_t divideCount(const Document &document, std::string_view customer,
                          std::string_view dataCentre, std::uint32_t limit)
{
    std::vector<Part> parts = partsOf(document, customer, limit);
    std::uint32_t left = sumOf(document, customer, limit);
    for (const Part &part : parts)
        left -= std::min(left, part.whole);
    std::stable_sort(parts.begin(), parts.end(),
                     [](const Part &a, const Part &b) { return a.remainder > b.remainder; });
    for (const Part &part : parts) {
        const std::uint32_t extra = left > 0 ? 1 : 0;
        left -= extra;
        if (part.dataCentre == dataCentre)
            return part.whole + extra;
    }
    return 0;
}

} // namespace snipestall::settings
