#pragma once

#include <cstdint>
#include <string>

namespace snipestall::peer {

/// One version of the settings in its serialized form. `hash` is settings::Tree::hash().
struct SettingsDocument
{
    std::uint64_t version = 0;
    std::string hash;
    std::string yaml;
};

} // namespace snipestall::peer
