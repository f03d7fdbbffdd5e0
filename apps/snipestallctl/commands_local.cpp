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

ExitCode runExplain(const Invocation &invocation)
{
    const auto text = settings::explainPath(invocation.arguments.front());
    if (!text)
        return reportBadInput(invocation, text.error().message);
    invocation.out << *text;
    return ExitCode::Ok;
}

ExitCode runCheck(const Invocation &invocation)
{
    const auto text = readFile(invocation.options);
    if (!text)
        return report(invocation, text.error());
    const auto tree = settings::Tree::parse(*text);
    if (!tree)
        return reportFaults(invocation, tree.error());
    invocation.out << "no faults; hash " << tree->hash() << '\n';
    return ExitCode::Ok;
}

ExitCode runNewKey(const Invocation &invocation)
{
    const std::string key = newKey();
    const std::string hash = settings::sha256Hex(key);
    const TextTable table { { "KEY", "HASH" }, { { key, hash } } };
    const boost::json::object content { { "key", key }, { "hash", hash } };
    print(invocation.out, invocation.options.output, table, content);
    return ExitCode::Ok;
}

ExitCode runReference(const Invocation &invocation)
{
    struct Page
    {
        std::string_view name;
        std::string (*text)();
    };
    constexpr std::array Pages { Page { "settings", settings::referencePage },
                                 Page { "metrics", admin::metricsPage },
                                 Page { "events", events::referencePage } };
    const std::string wanted =
        invocation.arguments.empty() ? "settings" : invocation.arguments.front();
    for (const Page &page : Pages) {
        if (page.name == wanted) {
            invocation.out << page.text();
            return ExitCode::Ok;
        }
    }
    return reportBadInput(
        invocation, "unknown page '" + wanted + "'; the pages are settings, metrics and events");
}

ExitCode runCompletion(const Invocation &invocation)
{
    if (invocation.arguments.front() != "bash")
        return reportBadInput(invocation, "only bash is supported: snipestallctl completion bash");
    std::string words;
    for (const Command &command : commands())
        words.append(command.name).append(" ");
    std::string flags;
    for (const FlagHelp &flag : flagHelp())
        flags.append(flag.name.size() == 1 ? "-" : "--").append(flag.name).append(" ");
    invocation.out << "_snipestallctl() {\n"
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
