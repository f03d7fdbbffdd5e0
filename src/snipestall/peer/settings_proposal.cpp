#include "snipestall/peer/settings_proposal.hpp"

#include "snipestall/settings/tree.hpp"
#include "snipestall/settings/tree_edits.hpp"

#include <optional>
#include <span>
#include <utility>

namespace snipestall::peer {

namespace {

using ParsedTree = tl::expected<settings::Tree, std::vector<settings::Fault>>;

tl::unexpected<ChangeRefusal> refuse(ErrorKind kind, std::string message, std::uint64_t current)
{
    ChangeRefusal refusal;
    refusal.error = { kind, std::move(message) };
    refusal.currentVersion = current;
    return tl::unexpected<ChangeRefusal>(std::move(refusal));
}

tl::unexpected<ChangeRefusal> refuseInvalid(std::vector<settings::Fault> faults,
                                            std::uint64_t current)
{
    ChangeRefusal refusal;
    refusal.error = { ErrorKind::InvalidArgument,
                      "the settings would be invalid; correct each path listed" };
    refusal.faults = std::move(faults);
    refusal.currentVersion = current;
    return tl::unexpected<ChangeRefusal>(std::move(refusal));
}

tl::unexpected<ChangeRefusal> refuseConflict(std::vector<settings::Difference> theirs,
                                             std::uint64_t current)
{
    ChangeRefusal refusal;
    refusal.error = { ErrorKind::Conflict,
                      "another operator changed these paths; check version "
                          + std::to_string(current) + " and submit the change again" };
    refusal.theirs = std::move(theirs);
    refusal.currentVersion = current;
    return tl::unexpected<ChangeRefusal>(std::move(refusal));
}

/// Those of `theirs` whose paths one of the edits touches.
std::vector<settings::Difference> touchedBy(const std::vector<settings::Difference> &theirs,
                                            std::span<const settings::Edit> edits)
{
    std::vector<settings::Difference> common;
    for (const settings::Difference &difference : theirs) {
        if (settings::changesOverlap(std::span(&difference, 1), edits))
            common.push_back(difference);
    }
    return common;
}

/// The other operators' changes that conflict with this one. A whole document touches every path.
std::vector<settings::Difference> conflictingDifferences(const SettingsChange &change,
                                                         const settings::Tree &base,
                                                         const settings::Tree &head)
{
    std::vector<settings::Difference> theirs = settings::differences(base, head);
    return change.yaml.empty() ? touchedBy(theirs, change.edits) : theirs;
}

SettingsProposal makeProposal(const settings::Tree &tree, std::uint64_t headVersion)
{
    SettingsProposal proposal;
    proposal.document = { headVersion + 1, tree.hash(), tree.toCanonicalYaml() };
    return proposal;
}

} // namespace

tl::expected<SettingsProposal, ChangeRefusal>
propose(const SettingsChange &change, const SettingsDocument &base, const SettingsDocument &head)
{
    if (change.edits.empty() == change.yaml.empty())
        return refuse(ErrorKind::InvalidArgument, "submit either edits or one whole document",
                      head.version);
    if (change.baseVersion > head.version)
        return refuse(ErrorKind::InvalidArgument,
                      "there is no version " + std::to_string(change.baseVersion)
                          + " yet; read the current version and use its number",
                      head.version);
    if (head.version == 0) {
        if (change.yaml.empty())
            return refuse(ErrorKind::InvalidArgument,
                          "there are no settings yet; submit a whole document first", 0);
        const ParsedTree first = settings::Tree::parse(change.yaml);
        return first ? tl::expected<SettingsProposal, ChangeRefusal>(makeProposal(*first, 0))
                     : refuseInvalid(first.error(), 0);
    }
    if (change.baseVersion == 0)
        return refuse(ErrorKind::Conflict,
                      "there are settings already; read version " + std::to_string(head.version)
                          + " and submit a change of it",
                      head.version);
    const ParsedTree headTree = settings::Tree::parse(head.yaml);
    const ParsedTree baseTree = settings::Tree::parse(base.yaml);
    if (!headTree || !baseTree)
        return refuse(
            ErrorKind::Internal,
            "a stored version fails the current checks; submit a whole document against it",
            head.version);
    if (base.version != head.version) {
        auto theirs = conflictingDifferences(change, *baseTree, *headTree);
        if (!theirs.empty())
            return refuseConflict(std::move(theirs), head.version);
    }
    const ParsedTree next = change.yaml.empty() ? settings::withEdits(*headTree, change.edits)
                                                : settings::Tree::parse(change.yaml);
    if (!next)
        return refuseInvalid(next.error(), head.version);
    SettingsProposal proposal = makeProposal(*next, head.version);
    proposal.differences = settings::differences(*headTree, *next);
    return proposal;
}

} // namespace snipestall::peer
