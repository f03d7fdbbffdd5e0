#include "snipestall/base/rendezvous.hpp"

#include <algorithm>
#include <utility>

namespace snipestall {

namespace {

constexpr std::uint64_t EmptyHash = 0xcbf29ce484222325ULL;

/// The hash of more bytes after those that `hash` stands for.
std::uint64_t hashOf(std::string_view bytes, std::uint64_t hash)
{
    for (const char c : bytes) {
        hash ^= static_cast<unsigned char>(c);
        hash *= 0x100000001b3ULL;
    }
    return hash;
}

std::uint64_t mixed(std::uint64_t hash)
{
    hash ^= hash >> 33U;
    hash *= 0xff51afd7ed558ccdULL;
    hash ^= hash >> 33U;
    return hash;
}

} // namespace

std::uint64_t stableHash(std::string_view bytes)
{
    return mixed(hashOf(bytes, EmptyHash));
}

std::uint64_t stableHash(std::string_view bytes, std::string_view more)
{
    return mixed(hashOf(more, hashOf(bytes, EmptyHash)));
}

std::uint64_t rendezvousWeight(std::string_view key, std::string_view node)
{
    return mixed(hashOf(node, hashOf("\n", hashOf(key, EmptyHash))));
}

std::optional<std::string> rendezvousPick(std::string_view key, std::span<const std::string> nodes)
{
    const std::string *best = nullptr;
    std::uint64_t bestWeight = 0;
    for (const std::string &node : nodes) {
        const std::uint64_t candidate = rendezvousWeight(key, node);
        const bool wins =
            best == nullptr || candidate > bestWeight || (candidate == bestWeight && node < *best);
        if (wins) {
            best = &node;
            bestWeight = candidate;
        }
    }
    return best == nullptr ? std::nullopt : std::optional<std::string>(*best);
}

std::vector<std::string> rendezvousOrder(std::string_view key, std::span<const std::string> nodes)
{
    std::vector<std::pair<std::uint64_t, std::string>> weighted;
    weighted.reserve(nodes.size());
    for (const std::string &node : nodes)
        weighted.emplace_back(rendezvousWeight(key, node), node);
    std::sort(weighted.begin(), weighted.end(), [](const auto &a, const auto &b) {
        return a.first != b.first ? a.first > b.first : a.second < b.second;
    });
    std::vector<std::string> order;
    order.reserve(weighted.size());
    for (auto &entry : weighted)
        order.push_back(std::move(entry.second));
    return order;
}

} // namespace snipestall
