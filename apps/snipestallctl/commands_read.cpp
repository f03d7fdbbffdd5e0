#include "commands.hpp"

#include "snipestall/admin/time_text.hpp"
#include "snipestall/settings/document.hpp"
#include "snipestall/settings/tree_edits.hpp"

#include "report.hpp"
#include "session.hpp"

#include <boost/json.hpp>

#include <ostream>

namespace snipestall::ctl {

namespace json = boost::json;

namespace {

bool isUnder(const std::string &path, const std::string &wanted)
{
    return wanted.empty() || path == wanted || path.starts_with(wanted + "/");
}

ExitCode showEffective(const Invocation &invocation, const std::string &wanted)
{
    OperatorsClient client = clientFor(invocation.options);
    const auto effective = client.effective(
        invocation.options.dataCentre, invocation.options.customer, invocation.options.service);
    if (!effective)
        return report(invocation, effective.error());
    TextTable table { { "PATH", "VALUE", "FROM" }, {} };
    json::array values;
    for (const admin::EffectiveValue &value : effective->values) {
        if (!isUnder(value.path, wanted))
            continue;
        table.rows.push_back({ value.path, value.value, value.from });
        values.push_back(json::object {
            { "path", value.path }, { "value", value.value }, { "from", value.from } });
    }
    const json::object content { { "version", effective->version },
                                 { "data_centre", effective->dataCentre },
                                 { "values", std::move(values) } };
    print(invocation.out, invocation.options.output, table, content);
    return ExitCode::Ok;
}

/// Prints the whole settings as a document that `apply` accepts unchanged.
ExitCode printDocument(const Invocation &invocation, const SettingsVersion &read)
{
    const auto tree = read.tree();
    if (!tree)
        return report(invocation, tree.error());
    invocation.out << "# version " << read.version << '\n' << tree->toReadableYaml();
    return ExitCode::Ok;
}

ExitCode showTree(const Invocation &invocation, const SettingsVersion &read,
                  const std::string &wanted)
{
    const auto tree = read.tree();
    if (!tree)
        return report(invocation, tree.error());
    TextTable table { { "PATH", "VALUE" }, {} };
    json::object values;
    for (const auto &[path, value] : tree->document().values) {
        if (!isUnder(path, wanted))
            continue;
        table.rows.push_back({ path, settings::toText(value) });
        values[path] = settings::toText(value);
    }
    if (table.rows.empty() && !tree->document().has(wanted))
        return report(invocation,
                      Failure::of(ExitCode::BadInput, ErrorKind::NotFound,
                                  "nothing is set under '" + wanted
                                      + "'; for its meaning, see snipestallctl explain " + wanted));
    const json::object content { { "version", read.version },
                                 { "from_table", read.fromTable },
                                 { "values", std::move(values) } };
    print(invocation.out, invocation.options.output, table, content);
    return ExitCode::Ok;
}

Outcome<admin::AuditMessage> readAudit(const Invocation &invocation)
{
    OperatorsClient client = clientFor(invocation.options);
    return client.audit(invocation.options.since, invocation.options.path, invocation.options.who,
                        invocation.options.limit);
}

void noteOmittedChanges(const Invocation &invocation, const admin::AuditMessage &audit)
{
    if (audit.before > 0)
        invocation.err << "older changes are not shown; narrow the filters or raise --limit\n";
}

} // namespace

ExitCode runGet(const Invocation &invocation)
{
    const std::string wanted = invocation.arguments.empty() ? "" : invocation.arguments.front();
    if (invocation.options.effective)
        return showEffective(invocation, wanted);
    OperatorsClient client = clientFor(invocation.options);
    const auto read = readVersion(client, invocation.options.atVersion);
    if (!read)
        return report(invocation, read.error());
    if (!read->fromTable)
        invocation.err << "the platform's table does not answer; these are the settings that one "
                          "instance has in force\n";
    if (read->version == 0) {
        invocation.err << "there are no settings yet; start with snipestallctl apply -f FILE\n";
        return ExitCode::Ok;
    }
    if (invocation.options.output == OutputFormat::Yaml && wanted.empty())
        return printDocument(invocation, *read);
    return showTree(invocation, *read, wanted);
}

ExitCode runDiff(const Invocation &invocation)
{
    const auto text = readFile(invocation.options);
    if (!text)
        return report(invocation, text.error());
    const auto file = settings::Tree::parse(*text);
    if (!file)
        return reportFaults(invocation, file.error());
    OperatorsClient client = clientFor(invocation.options);
    const auto read = readVersion(client, invocation.options.atVersion);
    if (!read)
        return report(invocation, read.error());
    if (read->version == 0) {
        invocation.err << "there are no settings yet; the whole file would be new\n";
        return ExitCode::Ok;
    }
    const auto tree = read->tree();
    if (!tree)
        return report(invocation, tree.error());
    const auto found = settings::differences(*tree, *file);
    print(invocation.out, invocation.options.output, tableOf(found), jsonOf(found));
    return ExitCode::Ok;
}

ExitCode runHistory(const Invocation &invocation)
{
    const auto audit = readAudit(invocation);
    if (!audit)
        return report(invocation, audit.error());
    TextTable table { { "VERSION", "TIME", "WHO", "PATHS", "REASON" }, {} };
    for (const peer::AuditRecord &record : audit->records)
        table.rows.push_back({ std::to_string(record.toVersion), admin::formatTime(record.at),
                               record.who, std::to_string(record.differences.size()),
                               record.reason });
    print(invocation.out, invocation.options.output, table,
          json::parse(admin::encodeAudit(*audit)));
    noteOmittedChanges(invocation, *audit);
    return ExitCode::Ok;
}

ExitCode runAudit(const Invocation &invocation)
{
    const auto audit = readAudit(invocation);
    if (!audit)
        return report(invocation, audit.error());
    TextTable table { { "VERSION", "TIME", "WHO", "PATH", "BEFORE", "AFTER" }, {} };
    for (const peer::AuditRecord &record : audit->records) {
        const std::string version = std::to_string(record.toVersion);
        const std::string time = admin::formatTime(record.at);
        for (const auto &row : tableOf(record.differences).rows)
            table.rows.push_back({ version, time, record.who, row[0], row[1], row[2] });
        if (record.differences.empty())
            table.rows.push_back({ version, time, record.who, "(first document)", "", "" });
    }
    print(invocation.out, invocation.options.output, table,
          json::parse(admin::encodeAudit(*audit)));
    noteOmittedChanges(invocation, *audit);
    return ExitCode::Ok;
}

} // namespace snipestall::ctl
