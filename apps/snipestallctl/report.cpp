#include "report.hpp"

#include "snipestall/admin/time_text.hpp"

#include <boost/json.hpp>

#include <ostream>

namespace snipestall::ctl {
namespace {

constexpr const char *NotSet = "(not set)";

void printFaults(std::ostream &err, const std::vector<settings::Fault> &faults)
{
    for (const settings::Fault &fault : faults)
        err << "  " << (fault.path.empty() ? "(document)" : fault.path) << ": found " << fault.found
            << "; allowed: " << fault.allowed << '\n';
}

void printConflictingChanges(std::ostream &err, const admin::RefusalMessage &refusal)
{
    for (const settings::Difference &theirs : refusal.theirs)
        err << "  " << theirs.path << ": " << theirs.before.value_or(NotSet) << " -> "
            << theirs.after.value_or(NotSet) << '\n';
    for (const peer::AuditRecord &record : refusal.changes) {
        err << "  version " << record.toVersion << " by " << record.who << " at "
            << admin::formatTime(record.at);
        err << (record.reason.empty() ? "" : ": " + record.reason) << '\n';
    }
    const std::string version = std::to_string(refusal.currentVersion);
    err << "To continue, look at version " << version
        << " (snipestallctl get), then run the same command with --base_version " << version
        << " if you still want the change.\n";
}

} // namespace

ExitCode report(const Invocation &invocation, const Failure &failure)
{
    const admin::RefusalMessage &refusal = failure.refusal;
    invocation.err << "snipestallctl: " << refusal.error.message << '\n';
    printFaults(invocation.err, refusal.faults);
    if (refusal.error.kind == ErrorKind::Conflict && refusal.currentVersion > 0)
        printConflictingChanges(invocation.err, refusal);
    if (invocation.options.output == OutputFormat::Json)
        invocation.out << admin::encodeRefusal(refusal) << '\n';
    return failure.code;
}

ExitCode reportFaults(const Invocation &invocation, const std::vector<settings::Fault> &faults)
{
    Failure failure =
        Failure::of(ExitCode::BadInput, ErrorKind::InvalidArgument,
                    std::to_string(faults.size()) + (faults.size() == 1 ? " fault" : " faults")
                        + "; nothing was applied, correct every fault first");
    failure.refusal.faults = faults;
    return report(invocation, failure);
}

ExitCode reportBadInput(const Invocation &invocation, const std::string &message)
{
    return report(invocation, Failure::of(ExitCode::BadInput, ErrorKind::InvalidArgument, message));
}

TextTable tableOf(const std::vector<settings::Difference> &differences)
{
    TextTable table { { "PATH", "BEFORE", "AFTER" }, {} };
    for (const settings::Difference &difference : differences)
        table.rows.push_back({ difference.path, difference.before.value_or(NotSet),
                               difference.after.value_or(NotSet) });
    return table;
}

boost::json::array jsonOf(const std::vector<settings::Difference> &differences)
{
    const auto orNull = [](const std::optional<std::string> &text) {
        return text ? boost::json::value(*text) : boost::json::value(nullptr);
    };
    boost::json::array array;
    for (const settings::Difference &difference : differences)
        array.push_back(boost::json::object { { "path", difference.path },
                                              { "before", orNull(difference.before) },
                                              { "after", orNull(difference.after) } });
    return array;
}

} // namespace snipestall::ctl
