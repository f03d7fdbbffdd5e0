#include "command.hpp"
#include "flags.hpp"

#include "operators_api_fixture.hpp"

#include <gflags/gflags.h>
#include <gtest/gtest.h>

#include <cstdio>
#include <fstream>
#include <sstream>

namespace snipestall::ctl {
namespace {

constexpr std::string_view Prompt = "    $ ";
constexpr std::string_view ExitCodeMark = "# ends with ";

/// One command line shown on the page and its expected exit code.
struct ShownCommand
{
    std::string line;
    std::vector<std::string> words;
    std::string redirect;
    int code = 0;
};

/// Splits a line as a shell does, but supports only what the page uses: quotes, one redirection and
/// a comment.
ShownCommand parse(const std::string &line)
{
    ShownCommand shown { line, {}, {}, 0 };
    const std::size_t ends = line.find(ExitCodeMark);
    if (ends != std::string::npos)
        shown.code = std::stoi(line.substr(ends + ExitCodeMark.size()));
    std::istringstream in(line.substr(0, line.find(" #")));
    std::string word;
    while (in >> std::ws && in.good()) {
        const int quote = in.peek();
        if (quote == '"' || quote == '\'') {
            in.get();
            std::getline(in, word, static_cast<char>(quote));
        } else {
            in >> word;
        }
        shown.words.push_back(word);
    }
    const std::size_t size = shown.words.size();
    if (size > 2 && shown.words[size - 2] == ">") {
        shown.redirect = shown.words.back();
        shown.words.resize(size - 2);
    }
    return shown;
}

std::vector<ShownCommand> commandsOf(const std::string &page)
{
    std::ifstream file(page);
    std::vector<ShownCommand> found;
    for (std::string line; std::getline(file, line);) {
        if (line.starts_with(Prompt))
            found.push_back(parse(line.substr(Prompt.size())));
    }
    return found;
}

class DocsTest : public OperatorsApiFixture
{
protected:
    ExitCode runAsShown(const ShownCommand &shown)
    {
        const gflags::FlagSaver untouched;
        std::vector<std::string> words = shown.words;
        std::vector<char *> argv;
        argv.reserve(words.size() + 1);
        for (std::string &word : words)
            argv.push_back(word.data());
        argv.push_back(nullptr);
        auto line = parseCommandLine(static_cast<int>(words.size()), argv.data());
        if (!line)
            return ExitCode::BadInput;
        Options &options = line->options;
        options.servers = m_options.servers;
        options.key = m_options.key;
        if (!options.file.empty())
            options.file = resolvePath(options.file);
        std::ostringstream out;
        const ExitCode code = ctl::run(line->words, options, out, m_messages);
        if (!shown.redirect.empty()) {
            m_written.push_back(testing::TempDir() + shown.redirect);
            std::ofstream(m_written.back()) << out.str();
        }
        return code;
    }

    static std::string resolvePath(const std::string &name)
    {
        const std::string inRepository = SNIPESTALL_SOURCE_DIR "/" + name;
        return std::ifstream(inRepository) ? inRepository : testing::TempDir() + name;
    }

    ~DocsTest() override
    {
        for (const std::string &file : m_written)
            std::remove(file.c_str());
    }

    std::ostringstream m_messages;
    std::vector<std::string> m_written;
};

TEST_F(DocsTest, EveryCommandOfThePageRunsAsWritten)
{
    const auto commands = commandsOf(SNIPESTALL_SOURCE_DIR "/docs/snipestallctl.md");
    ASSERT_GT(commands.size(), 25U);
    for (const ShownCommand &shown : commands) {
        m_messages.str("");
        EXPECT_EQ(static_cast<int>(runAsShown(shown)), shown.code) << shown.line << '\n'
                                                                   << m_messages.str();
        if (shown.line.find(" apply ") != std::string::npos)
            m_options.key = AylaKey;
    }
}

} // namespace
} // namespace snipestall::ctl
