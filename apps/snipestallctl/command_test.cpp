#include "command.hpp"

#include "operators_api_fixture.hpp"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <cstdio>
#include <fstream>
#include <sstream>

namespace snipestall::ctl {
namespace {

using testing::ContainsRegex;
using testing::HasSubstr;
using testing::Not;

const std::string ExampleSettings = SNIPESTALL_SOURCE_DIR "/examples/settings/karadeniz.yaml";

/// The exit code and the output of a command.
struct CommandResult
{
    ExitCode code;
    std::string out;
    std::string err;
};

class CommandTest : public OperatorsApiFixture
{
protected:
    CommandResult run(const std::vector<std::string> &words) const
    {
        std::ostringstream out;
        std::ostringstream err;
        const ExitCode code = ctl::run(words, m_options, out, err);
        return { code, out.str(), err.str() };
    }

    void applyExample()
    {
        m_options.file = ExampleSettings;
        ASSERT_EQ(run({ "apply" }).code, ExitCode::Ok);
        m_options.key = AylaKey;
    }

    std::string writeFile(const std::string &text)
    {
        m_file = testing::TempDir() + "snipestallctl-" + std::to_string(getpid()) + ".yaml";
        std::ofstream(m_file) << text;
        return m_file;
    }

    ~CommandTest() override
    {
        if (!m_file.empty())
            std::remove(m_file.c_str());
    }

    std::string m_file;
};

TEST_F(CommandTest, AppliesTheFirstDocumentAndThenChangesALimit)
{
    EXPECT_THAT(run({ "get" }).err, HasSubstr("no settings yet"));
    applyExample();
    EXPECT_THAT(run({ "apply" }).err, HasSubstr("nothing to change"));
    const std::string path = "customers/fishing-fleets/limits/concurrency";
    EXPECT_EQ(run({ "set", path, "100" }).code, ExitCode::Ok);
    EXPECT_THAT(run({ "get", "customers/fishing-fleets" }).out, HasSubstr(path + "  100"));
    m_options.effective = true;
    m_options.customer = "fishing-fleets";
    m_options.service = "language";
    const std::string effective = run({ "get" }).out;
    EXPECT_THAT(effective, ContainsRegex("/limits/concurrency +100 +customers/fishing-fleets\n"));
    EXPECT_THAT(effective, ContainsRegex("/local/limits/concurrency +30 +share of data_centres"));
}

TEST_F(CommandTest, TheFirstDocumentCanBeWaitedForWithTheBootstrapKey)
{
    m_options.file = ExampleSettings;
    m_options.wait = true;
    m_options.inForceWithin = std::chrono::milliseconds(300);
    EXPECT_EQ(run({ "apply" }).code, ExitCode::Ok);
}

TEST_F(CommandTest, WaitComesBackOnceEveryServerHasTheChangeInForce)
{
    applyExample();
    m_options.wait = true;
    m_options.inForceWithin = std::chrono::milliseconds(300);
    m_server.onLoop([this] { m_status.settingsKeeper = &m_keeper; });
    EXPECT_EQ(run({ "set", "fleet/weight", "2" }).code, ExitCode::Ok);
    m_server.onLoop([this] { m_status.settingsKeeper = nullptr; });
    const CommandResult behind = run({ "set", "fleet/weight", "3" });
    EXPECT_EQ(behind.code, ExitCode::NotInForce);
    EXPECT_THAT(behind.err, HasSubstr("not yet in force at 127.0.0.1"));
}

TEST_F(CommandTest, RollbackIsANewVersionWithOldContent)
{
    applyExample();
    const std::string first = run({ "get" }).out;
    run({ "unset", "customers/harbour-office/services", "fleet/latency" });
    EXPECT_NE(run({ "get" }).out, first);
    EXPECT_EQ(run({ "rollback", "1" }).code, ExitCode::Ok);
    EXPECT_EQ(run({ "get" }).out, first);
    const std::string history = run({ "history" }).out;
    EXPECT_THAT(history, HasSubstr("back to the content of version 1"));
    EXPECT_THAT(history, HasSubstr("\n3 "));
    EXPECT_THAT(run({ "audit" }).out, HasSubstr("customers/harbour-office/services"));
    EXPECT_EQ(run({ "rollback", "9" }).code, ExitCode::BadInput);
}

// A customer's leaked key is removed. A later rollback to a version from before must not make the
// leaked key valid again.
TEST_F(CommandTest, ARollbackDoesNotBringBackKeysThatWereTakenAway)
{
    applyExample();
    const std::string path = "customers/fishing-fleets/key_hashes";
    run({ "set", path, "[" + std::string(64, 'a') + "]", "fleet/weight", "2" });
    run({ "unset", "operators/deniz", "customers/settlement-desk" });
    EXPECT_EQ(run({ "rollback", "1" }).code, ExitCode::Ok);
    EXPECT_THAT(run({ "get", path }).out, HasSubstr("aaaa"));
    EXPECT_EQ(run({ "get", "fleet/weight" }).code, ExitCode::BadInput);
    EXPECT_EQ(run({ "get", "operators/deniz" }).code, ExitCode::BadInput);
    EXPECT_EQ(run({ "get", "customers/settlement-desk" }).code, ExitCode::Ok);
    EXPECT_EQ(run({ "get", "customers/settlement-desk/key_hashes" }).code, ExitCode::BadInput);
    m_options.withKeys = true;
    EXPECT_EQ(run({ "rollback", "1" }).code, ExitCode::Ok);
    EXPECT_THAT(run({ "get", path }).out, Not(HasSubstr("aaaa")));
    EXPECT_EQ(run({ "get", "operators/deniz" }).code, ExitCode::Ok);
}

// Deniz writes the document to a file and edits it, while ayla changes another customer. Ayla's
// change must stay, although the file still has the old value. When the file is applied again after
// the same customer has changed, it must be refused; the message shows that change and how to
// continue.
TEST_F(CommandTest, AnEditedFileKeepsOthersChangesAndShowsConflictingOnes)
{
    applyExample();
    m_options.output = OutputFormat::Yaml;
    std::string text = run({ "get" }).out;
    m_options.output = OutputFormat::Table;
    const std::string wanted = "weight: 3";
    text.replace(text.find(wanted), wanted.size(), "weight: 4");
    run({ "set", "customers/coastal-ferries/weight", "1" });

    m_options.key = "example-operator-deniz";
    m_options.file = writeFile(text);
    EXPECT_EQ(run({ "apply" }).code, ExitCode::Ok);
    const std::string now = run({ "get" }).out;
    EXPECT_THAT(now, HasSubstr("customers/coastal-ferries/weight"));
    EXPECT_THAT(run({ "get", "customers/coastal-ferries/weight" }).out, HasSubstr("  1\n"));
    EXPECT_THAT(run({ "get", "customers/harbour-office/weight" }).out, HasSubstr("  4\n"));

    text.replace(text.find("weight: 4"), wanted.size(), "weight: 5");
    m_options.file = writeFile(text);
    const CommandResult refused = run({ "apply" });
    EXPECT_EQ(refused.code, ExitCode::Refused);
    EXPECT_THAT(refused.err, HasSubstr("customers/harbour-office/weight: 3 -> 4"));
    EXPECT_THAT(refused.err, HasSubstr("by deniz"));
    EXPECT_THAT(refused.err, HasSubstr("--base_version 3"));
}

TEST_F(CommandTest, EveryFaultIsNamedAndNothingIsApplied)
{
    applyExample();
    const CommandResult faulty = run({ "set", "fleet/weight", "-1", "fleet/cost_preference", "2" });
    EXPECT_EQ(faulty.code, ExitCode::BadInput);
    EXPECT_THAT(faulty.err, HasSubstr("fleet/weight: found -1; allowed: a number above 0"));
    EXPECT_THAT(faulty.err, HasSubstr("fleet/cost_preference: found 2"));
    m_options.file = writeFile("fleet: {weigth: 1}");
    const CommandResult check = run({ "check" });
    EXPECT_EQ(check.code, ExitCode::BadInput);
    EXPECT_THAT(check.err, HasSubstr("did you mean weight?"));
    EXPECT_EQ(run({ "apply" }).code, ExitCode::BadInput);
    EXPECT_EQ(m_keeper.version(), 1U);
}

TEST_F(CommandTest, WithTheTableDownShowsWhatIsInForceAndRefusesChanges)
{
    applyExample();
    m_server.onLoop([this] { m_table.down = true; });
    const CommandResult shown = run({ "get", "fleet" });
    EXPECT_EQ(shown.code, ExitCode::Ok);
    EXPECT_THAT(shown.err, HasSubstr("does not answer"));
    EXPECT_EQ(run({ "set", "fleet/weight", "2" }).code, ExitCode::Unreachable);
}

// The table commits the change, but its answer is lost and the table stays down. The command must
// end with OutcomeUnknown and print the change's id, with which the operator later finds out that
// the change was applied.
TEST_F(CommandTest, AnUnknownOutcomeNamesTheIdThatSettlesIt)
{
    applyExample();
    m_options.changeId = "my-change";
    m_server.onLoop([this] {
        m_table.answersToLose = 1;
        m_table.beforeAnswer = [this] { m_table.down = true; };
    });
    const CommandResult unknown = run({ "set", "fleet/weight", "2" });
    EXPECT_EQ(unknown.code, ExitCode::OutcomeUnknown);
    EXPECT_THAT(unknown.err, HasSubstr("--change_id my-change"));
    m_server.onLoop([this] {
        m_table.beforeAnswer = nullptr;
        m_table.down = false;
    });
    EXPECT_THAT(run({ "set", "fleet/weight", "2" }).out, HasSubstr("2        my-change"));
}

TEST_F(CommandTest, WrongKeysCommandsAndServersReturnTheirExitCodes)
{
    applyExample();
    m_options.key = "guess";
    EXPECT_EQ(run({ "get" }).code, ExitCode::Refused);
    EXPECT_EQ(run({ "fetch" }).code, ExitCode::BadInput);
    EXPECT_EQ(run({ "set", "fleet/weight" }).code, ExitCode::BadInput);
    EXPECT_EQ(run({ "explain", "fleet/wieght" }).code, ExitCode::BadInput);
    m_options.servers = { { "127.0.0.1", 1 } };
    EXPECT_EQ(run({ "get" }).code, ExitCode::Unreachable);
    EXPECT_EQ(run({ "status" }).code, ExitCode::Unreachable);
}

TEST_F(CommandTest, StatusAsksEveryServerAndDrainExactlyOne)
{
    applyExample();
    m_options.servers.push_back({ "127.0.0.1", 1 });
    const std::string status = run({ "status" }).out;
    EXPECT_THAT(status, HasSubstr("samsun-1"));
    EXPECT_THAT(status, HasSubstr("2 waiting, 5 running, oldest 30ms"));
    EXPECT_THAT(status, HasSubstr("no answer"));
    EXPECT_EQ(run({ "drain" }).code, ExitCode::BadInput);
    m_options.servers.pop_back();
    EXPECT_EQ(run({ "drain" }).code, ExitCode::Ok);
    m_server.onLoop([this] { EXPECT_EQ(m_drains, 1); });
}

TEST_F(CommandTest, JsonAndYamlHoldTheSameContent)
{
    applyExample();
    m_options.output = OutputFormat::Json;
    EXPECT_THAT(run({ "get", "fleet" }).out, HasSubstr("\"fleet/cost_preference\":\"0.25\""));
    EXPECT_THAT(run({ "history" }).out, HasSubstr("\"who\":\"bootstrap\""));
    m_options.output = OutputFormat::Yaml;
    EXPECT_THAT(run({ "get", "fleet" }).out, HasSubstr("fleet/cost_preference: 0.25"));
    EXPECT_THAT(run({ "status" }).out, HasSubstr("instance: samsun-1"));
}

TEST_F(CommandTest, EveryCommandHasHelpAndIsInTheCompletion)
{
    const std::string completion = run({ "completion", "bash" }).out;
    m_options.help = true;
    for (const Command &command : commands()) {
        const CommandResult help = run({ std::string(command.name) });
        EXPECT_EQ(help.code, ExitCode::Ok);
        EXPECT_THAT(help.out, HasSubstr(std::string(command.usage)));
        EXPECT_THAT(completion, HasSubstr(std::string(command.name)));
    }
    EXPECT_THAT(run({}).out, HasSubstr("--base_version"));
}

} // namespace
} // namespace snipestall::ctl
