#pragma once

#include <cstdint>
#include <string>

namespace snipestall::peer {

/// One version of the settings as it travels. `hash` is the tree's own.
struct SettingsDocument
{
    std::uint64_t version = 0;
    std::string hash;
    std::string yaml;
};

} // namespace snipestall::peer
