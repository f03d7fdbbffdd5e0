#include "suggestion.hpp"

#include <algorithm>
#include <numeric>
#include <vector>

namespace snipestall::settings {
namespace {

std::size_t levenshteinDistance(std::string_view a, std::string_view b)
{
    std::vector<std::size_t> row(b.size() + 1);
    std::iota(row.begin(), row.end(), std::size_t { 0 });
    for (std::size_t i = 0; i < a.size(); ++i) {
        std::size_t diagonal = row[0];
        row[0] = i + 1;
        for (std::size_t j = 0; j < b.size(); ++j) {
            const std::size_t replaced = diagonal + (a[i] == b[j] ? 0 : 1);
            diagonal = row[j + 1];
            row[j + 1] = std::min({ row[j] + 1, row[j + 1] + 1, replaced });
        }
    }
    return row.back();
}

} // namespace

std::string nearestName(std::string_view text, std::span<const std::string> names)
{
    constexpr std::size_t MaxComparedLength = 64;
    if (text.size() > MaxComparedLength)
        return {};
    std::string best;
    std::size_t bestDistance = std::max<std::size_t>(2, text.size() / 3) + 1;
    for (const std::string &name : names) {
        const std::size_t candidateDistance = levenshteinDistance(text, name);
        if (candidateDistance < bestDistance) {
            bestDistance = candidateDistance;
            best = name;
        }
    }
    return best;
}

} // namespace snipestall::settings
