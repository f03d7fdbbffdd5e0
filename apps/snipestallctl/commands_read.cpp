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

ExitCode showEffective(const Invocation &run, const std::string &wanted)
{
    OperatorsClient client = clientFor(run.options);
    const auto effective =
        client.effective(run.options.dataCentre, run.options.customer, run.options.service);
    if (!effective)
        return report(run, effective.error());
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
    print(run.out, run.options.output, table, content);
    return ExitCode::Ok;
}

/// A whole document that `apply` takes back as it is.
ExitCode printDocument(const Invocation &run, const ReadVersion &read)
{
    const auto tree = read.tree();
    if (!tree)
        return report(run, tree.error());
    run.out << "# version " << read.version << '\n' << tree->toReadableYaml();
    return ExitCode::Ok;
}

ExitCode showTree(const Invocation &run, const ReadVersion &read, const std::string &wanted)
{
    const auto tree = read.tree();
    if (!tree)
        return report(run, tree.error());
    TextTable table { { "PATH", "VALUE" }, {} };
    json::object values;
    for (const auto &[path, value] : tree->document().values) {
        if (!isUnder(path, wanted))
            continue;
        table.rows.push_back({ path, settings::toText(value) });
        values[path] = settings::toText(value);
    }
    if (table.rows.empty() && !tree->document().has(wanted))
        return report(run,
                      Failure::of(ExitCode::BadInput, ErrorKind::NotFound,
                                  "nothing is set under '" + wanted
                                      + "'; see what it means with snipestallctl explain "
                                      + wanted));
    const json::object content { { "version", read.version },
                                 { "from_table", read.fromTable },
                                 { "values", std::move(values) } };
    print(run.out, run.options.output, table, content);
    return ExitCode::Ok;
}

Outcome<admin::AuditMessage> readAudit(const Invocation &run)
{
    OperatorsClient client = clientFor(run.options);
    return client.audit(run.options.since, run.options.path, run.options.who, run.options.limit);
}

void noteOlder(const Invocation &run, const admin::AuditMessage &audit)
{
    if (audit.before > 0)
        run.err << "older changes were left out; narrow the question or raise --limit\n";
}

} // namespace

ExitCode runGet(const Invocation &run)
{
    const std::string wanted = run.arguments.empty() ? "" : run.arguments.front();
    if (run.options.effective)
        return showEffective(run, wanted);
    OperatorsClient client = clientFor(run.options);
    const auto read = readVersion(client, run.options.atVersion);
    if (!read)
        return report(run, read.error());
    if (!read->fromTable)
        run.err << "the platform's table does not answer; this is what one instance has in force\n";
    if (read->version == 0) {
        run.err << "there are no settings yet; begin with snipestallctl apply -f FILE\n";
        return ExitCode::Ok;
    }
    if (run.options.output == OutputFormat::Yaml && wanted.empty())
        return printDocument(run, *read);
    return showTree(run, *read, wanted);
}

ExitCode runDiff(const Invocation &run)
{
    const auto text = readFile(run.options);
    if (!text)
        return report(run, text.error());
    const auto file = settings::Tree::parse(*text);
    if (!file)
        return reportFaults(run, file.error());
    OperatorsClient client = clientFor(run.options);
    const auto read = readVersion(client, run.options.atVersion);
    if (!read)
        return report(run, read.error());
    if (read->version == 0) {
        run.err << "there are no settings yet; the whole file would be new\n";
        return ExitCode::Ok;
    }
    const auto tree = read->tree();
    if (!tree)
        return report(run, tree.error());
    const auto found = settings::differences(*tree, *file);
    print(run.out, run.options.output, tableOf(found), jsonOf(found));
    return ExitCode::Ok;
}

ExitCode runHistory(const Invocation &run)
{
    const auto audit = readAudit(run);
    if (!audit)
        return report(run, audit.error());
    TextTable table { { "VERSION", "TIME", "WHO", "PATHS", "REASON" }, {} };
    for (const peer::AuditRecord &record : audit->records)
        table.rows.push_back({ std::to_string(record.toVersion), admin::formatTime(record.at),
                               record.who, std::to_string(record.differences.size()),
                               record.reason });
    print(run.out, run.options.output, table, json::parse(admin::encodeAudit(*audit)));
    noteOlder(run, *audit);
    return ExitCode::Ok;
}

ExitCode runAudit(const Invocation &run)
{
    const auto audit = readAudit(run);
    if (!audit)
        return report(run, audit.error());
    TextTable table { { "VERSION", "TIME", "WHO", "PATH", "BEFORE", "AFTER" }, {} };
    for (const peer::AuditRecord &record : audit->records) {
        const std::string version = std::to_string(record.toVersion);
        const std::string time = admin::formatTime(record.at);
        for (const auto &row : tableOf(record.differences).rows)
            table.rows.push_back({ version, time, record.who, row[0], row[1], row[2] });
        if (record.differences.empty())
            table.rows.push_back({ version, time, record.who, "(first document)", "", "" });
    }
    print(run.out, run.options.output, table, json::parse(admin::encodeAudit(*audit)));
    noteOlder(run, *audit);
    return ExitCode::Ok;
}

} // namespace snipestall::ctl
