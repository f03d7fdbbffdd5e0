#pragma once

#include "snipestall/settings/edit.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace snipestall::peer {

/// What an operator asks for.
struct SettingsChange
{
    /// Chosen by the client; the same id never takes effect twice.
    std::string id;
    /// The version that the operator saw.
    std::uint64_t baseVersion = 0;
    std::string who;
    std::string reason;
    /// Either edits, or a whole document in `yaml`.
    std::vector<settings::Edit> edits;
    std::string yaml;
};

} // namespace snipestall::peer
