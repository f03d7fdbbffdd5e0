#include "commands.hpp"

#include "snipestall/admin/metrics.hpp"
#include "snipestall/base/event_page.hpp"
#include "snipestall/settings/reference.hpp"
#include "snipestall/settings/sha256.hpp"
#include "snipestall/settings/tree.hpp"

#include "change_id.hpp"
#include "flags.hpp"
#include "report.hpp"
#include "session.hpp"

#include <boost/json.hpp>

#include <array>
#include <ostream>

namespace snipestall::ctl {

ExitCode runExplain(const Invocation &run)
{
    const auto text = settings::explainPath(run.arguments.front());
    if (!text)
        return reportBadInput(run, text.error().message);
    run.out << *text;
    return ExitCode::Ok;
}

ExitCode runCheck(const Invocation &run)
{
    const auto text = readFile(run.options);
    if (!text)
        return report(run, text.error());
    const auto tree = settings::Tree::parse(*text);
    if (!tree)
        return reportFaults(run, tree.error());
    run.out << "no faults; hash " << tree->hash() << '\n';
    return ExitCode::Ok;
}

ExitCode runNewKey(const Invocation &run)
{
    const std::string key = newKey();
    const std::string hash = settings::sha256Hex(key);
    const TextTable table { { "KEY", "HASH" }, { { key, hash } } };
    const boost::json::object content { { "key", key }, { "hash", hash } };
    print(run.out, run.options.output, table, content);
    return ExitCode::Ok;
}

ExitCode runReference(const Invocation &run)
{
    struct Page
    {
        std::string_view name;
        std::string (*text)();
    };
    constexpr std::array Pages { Page { "settings", settings::referencePage },
                                 Page { "metrics", admin::metricsPage },
                                 Page { "events", events::referencePage } };
    const std::string wanted = run.arguments.empty() ? "settings" : run.arguments.front();
    for (const Page &page : Pages) {
        if (page.name == wanted) {
            run.out << page.text();
            return ExitCode::Ok;
        }
    }
    return reportBadInput(run, "no page '" + wanted + "'; there are settings, metrics and events");
}

ExitCode runCompletion(const Invocation &run)
{
    if (run.arguments.front() != "bash")
        return reportBadInput(run, "only bash is known: snipestallctl completion bash");
    std::string words;
    for (const Command &command : commands())
        words.append(command.name).append(" ");
    std::string flags;
    for (const FlagHelp &flag : flagHelp())
        flags.append(flag.name.size() == 1 ? "-" : "--").append(flag.name).append(" ");
    run.out << "_snipestallctl() {\n"
               "  local word=${COMP_WORDS[COMP_CWORD]}\n"
               "  local before=${COMP_WORDS[COMP_CWORD-1]}\n"
               "  if [ \"$before\" = -f ]; then COMPREPLY=($(compgen -f -- \"$word\"));\n"
               "  elif [ \"$before\" = --output ]; then\n"
               "    COMPREPLY=($(compgen -W 'table json yaml' -- \"$word\"));\n"
               "  elif [[ $word == -* ]]; then COMPREPLY=($(compgen -W '"
            << flags
            << "' -- \"$word\"));\n"
               "  else COMPREPLY=($(compgen -W '"
            << words
            << "' -- \"$word\")); fi\n"
               "}\n"
               "complete -F _snipestallctl snipestallctl\n";
    return ExitCode::Ok;
}

} // namespace snipestall::ctl
