#pragma once

#include "snipestall/peer/settings_change.hpp"
#include "snipestall/peer/settings_document.hpp"
#include "snipestall/peer/settings_store.hpp"
#include "snipestall/settings/difference.hpp"

#include <tl/expected.hpp>

#include <string>
#include <vector>

namespace snipestall::peer {

/// The next version as it would be written.
struct SettingsProposal
{
    SettingsDocument document;
    std::vector<settings::Difference> differences;
};

/// What `change` makes of `head`. `base` is the version that the operator saw; where it is older
/// than the head, the change is rebased if it touches no path changed since, and refused as
/// Conflict, showing the others' changes of those paths, if it does. No I/O.
tl::expected<SettingsProposal, ChangeRefusal>
propose(const SettingsChange &change, const SettingsDocument &base, const SettingsDocument &head);

} // namespace snipestall::peer
