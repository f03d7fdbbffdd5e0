#pragma once

#include "snipestall/settings/edit.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace snipestall::peer {

/// A change of the settings that an operator requests.
struct SettingsChange
{
    /// Chosen by the client. A change with the same id never takes effect twice.
    std::string id;
    /// The version on which the operator based the change.
    std::uint64_t baseVersion = 0;
    std::string who;
    std::string reason;
    /// Either `edits` or a whole document in `yaml` is set, and the other is empty.
    std::vector<settings::Edit> edits;
    std::string yaml;
};

} // namespace snipestall::peer
