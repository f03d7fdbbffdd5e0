#include "snipestall/serving/prompt_parts.hpp"

#include "snipestall/base/rendezvous.hpp"

#include <algorithm>

namespace snipestall::serving {

namespace {

std::uint64_t hashOf(const std::string &service, const std::string &model)
{
    return stableHash(service + "\n" + model);
}

/// Mixes the id into the hash (the finalizer of SplitMix64; Steele, Lea and Flood, 2014).
std::uint64_t mix(std::uint64_t hash, std::uint64_t id)
{
    std::uint64_t value = hash ^ (id + 0x9e3779b97f4a7c15U);
    value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9U;
    value = (value ^ (value >> 27U)) * 0x94d049bb133111ebU;
    return value ^ (value >> 31U);
}

} // namespace

std::uint64_t PartName::key() const
{
    return mix(hashOf(service, model), id);
}

PromptParts PromptParts::of(const std::string &service, const Prompt &prompt)
{
    PromptParts parts { service, prompt.model, {} };
    if (prompt.parts.empty())
        return parts;
    const std::size_t shared = std::min(prompt.parts.size() - 1, MaxParts);
    parts.ids.reserve(shared);
    for (std::size_t i = 0; i < shared; ++i)
        parts.ids.push_back(prompt.parts[i].id);
    return parts;
}

std::vector<std::uint64_t> PromptParts::keys() const
{
    const std::uint64_t hash = hashOf(service, model);
    std::vector<std::uint64_t> keys;
    keys.reserve(ids.size());
    for (const std::uint64_t id : ids)
        keys.push_back(mix(hash, id));
    return keys;
}

} // namespace snipestall::serving
