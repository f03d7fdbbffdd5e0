#include "snipestall/peer/settings_store.hpp"

#include "snipestall/base/manual_clock.hpp"
#include "snipestall/platform/fake_table_service.hpp"
#include "snipestall/platform/run_task.hpp"
#include "snipestall/settings/tree.hpp"

#include <gtest/gtest.h>

namespace snipestall::peer {
namespace {

using namespace snipestall::platform;

constexpr const char *Document =
    "operators: {ayla: {key_hashes: "
    "[2c26b46b68ffc68ff99b453c1d30413413422d706483bfa0f98a5e886266e7ae]}}\n"
    "customers: {kiyi: {weight: 1}, liman: {weight: 1}}\n";

class SettingsStoreTest : public testing::Test
{
protected:
    using Changed = tl::expected<SettingsDocument, ChangeRefusal>;

    static SettingsChange whole(const std::string &id)
    {
        return { id, 0, "ayla", "first", {}, Document };
    }

    static SettingsChange edit(const std::string &id, std::uint64_t base, const std::string &path,
                               const std::string &value)
    {
        return { id, base, "ayla", "because", { { path, value } }, {} };
    }

    Changed change(SettingsChange change)
    {
        return runTask(m_io, m_store.change(std::move(change)));
    }

    std::uint64_t head() { return runTask(m_io, m_store.headVersion()).value(); }

    std::vector<AuditRecord> audit(std::uint64_t before, std::size_t limit)
    {
        return runTask(m_io, m_store.audit(before, limit)).value();
    }

    boost::asio::io_context m_io;
    ManualClock m_clock;
    FakeTableService m_table { m_io };
    SettingsStore m_store { m_table, m_clock };
};

TEST_F(SettingsStoreTest, AChangeMakesTheNextVersionWithItsAudit)
{
    EXPECT_EQ(head(), 0U);
    ASSERT_EQ(change(whole("c1"))->version, 1U);
    const auto second = change(edit("c2", 1, "customers/kiyi/weight", "3"));
    ASSERT_TRUE(second.has_value());
    EXPECT_EQ(second->version, 2U);
    EXPECT_EQ(runTask(m_io, m_store.head())->hash, second->hash);
    EXPECT_EQ(runTask(m_io, m_store.version(1))->version, 1U);

    const auto records = audit(0, 10);
    ASSERT_EQ(records.size(), 2U);
    EXPECT_EQ(records[0].toVersion, 2U);
    EXPECT_EQ(records[0].changeId, "c2");
    ASSERT_EQ(records[0].differences.size(), 1U);
    EXPECT_EQ(records[0].differences[0].path, "customers/kiyi/weight");
    EXPECT_EQ(audit(2, 10).size(), 1U);
}

// Two operators change the same path at the same time. If the second change were simply written,
// the first would be lost without either of them noticing.
TEST_F(SettingsStoreTest, AConflictOnOnePathIsRefusedWithTheOtherChange)
{
    change(whole("c1"));
    change(edit("c2", 1, "customers/kiyi/weight", "3"));
    const auto refused = change(edit("c3", 1, "customers/kiyi/weight", "5"));
    ASSERT_FALSE(refused.has_value());
    EXPECT_EQ(refused.error().error.kind, ErrorKind::Conflict);
    EXPECT_EQ(refused.error().currentVersion, 2U);
    ASSERT_EQ(refused.error().theirs.size(), 1U);
    EXPECT_EQ(refused.error().theirs[0].path, "customers/kiyi/weight");
    EXPECT_EQ(head(), 2U);
}

// Two operators change different paths of the same version. Refusing the second change would make
// them wait for each other without need, and writing its whole document would revert the first.
TEST_F(SettingsStoreTest, AChangeElsewhereIsRebased)
{
    change(whole("c1"));
    change(edit("c2", 1, "customers/kiyi/weight", "3"));
    const auto rebased = change(edit("c3", 1, "customers/liman/weight", "4"));
    ASSERT_TRUE(rebased.has_value());
    EXPECT_EQ(rebased->version, 3U);
    const auto differences = audit(0, 1).front().differences;
    ASSERT_EQ(differences.size(), 1U);
    EXPECT_EQ(differences[0].path, "customers/liman/weight");
    EXPECT_NE(rebased->yaml.find("3"), std::string::npos);
}

// Another operator's change takes effect between the read and the write of this one. The condition
// on the head's row version fails, and the change must be made again on top of the other.
TEST_F(SettingsStoreTest, AChangeOvertakenBetweenReadAndWriteIsMadeOnTop)
{
    change(whole("c1"));
    boost::asio::io_context elsewhere;
    bool overtaken = false;
    const int before = m_table.transactions;
    m_table.beforeCall = [&] {
        if (m_table.transactions == before || std::exchange(overtaken, true))
            return;
        runTask(elsewhere, m_store.change(edit("c2", 1, "customers/kiyi/weight", "3")));
    };
    const auto result = change(edit("c3", 1, "customers/liman/weight", "4"));
    ASSERT_TRUE(result.has_value());
    EXPECT_EQ(result->version, 3U);
    EXPECT_EQ(head(), 3U);
}

// The answer to the write is lost after it took effect. If the change were made again, it would
// appear twice in the history or be refused because it conflicts with itself.
TEST_F(SettingsStoreTest, ALostAnswerIsSettledByTheChangesId)
{
    change(whole("c1"));
    m_table.answersToLose = 1;
    const auto result = change(edit("c2", 1, "customers/kiyi/weight", "3"));
    ASSERT_TRUE(result.has_value());
    EXPECT_EQ(result->version, 2U);
    EXPECT_EQ(head(), 2U);
}

// The client has not received the answer and repeats its change after other operators have changed
// the settings. It must get the version that it made then, and the other changes must remain.
TEST_F(SettingsStoreTest, ARepeatReturnsTheVersionItMadeAfterLaterChanges)
{
    change(whole("c1"));
    change(edit("c2", 1, "customers/kiyi/weight", "3"));
    change(edit("c3", 2, "customers/kiyi/weight", "4"));
    const auto repeat = change(edit("c2", 1, "customers/kiyi/weight", "3"));
    ASSERT_TRUE(repeat.has_value());
    EXPECT_EQ(repeat->version, 2U);
    EXPECT_EQ(head(), 3U);
}

// The table goes down at each step of a change in turn. Unavailable must mean that the change did
// not take effect. After a write was sent that is not known, the error must be OutcomeUnknown, and
// a repeat finds out.
TEST_F(SettingsStoreTest, WithTheTableDownAtAnyStepTheErrorIsCorrect)
{
    change(whole("c1"));
    for (int step = 1; step <= 4; ++step) {
        const std::string id = "change-" + std::to_string(step);
        const std::uint64_t before = head();
        int calls = 0;
        m_table.answersToLose = 1;
        m_table.beforeCall = [&] { m_table.down = ++calls >= step; };
        const auto refused =
            change(edit(id, before, "customers/kiyi/weight", std::to_string(10 + step)));
        m_table.beforeCall = {};
        m_table.down = false;
        m_table.answersToLose = 0;
        ASSERT_FALSE(refused.has_value()) << step;
        const bool isIn = head() != before;
        const ErrorKind expected = isIn ? ErrorKind::OutcomeUnknown : ErrorKind::Unavailable;
        EXPECT_EQ(refused.error().error.kind, expected) << step;
        const auto repeat =
            change(edit(id, before, "customers/kiyi/weight", std::to_string(10 + step)));
        EXPECT_EQ(repeat->version, before + 1) << step;
        EXPECT_EQ(head(), before + 1) << step;
    }
}

TEST_F(SettingsStoreTest, AnInvalidChangeIsRefusedWithItsFaults)
{
    change(whole("c1"));
    const auto refused = change(edit("c2", 1, "customers/kiyi/weight", "-3"));
    ASSERT_FALSE(refused.has_value());
    EXPECT_EQ(refused.error().error.kind, ErrorKind::InvalidArgument);
    EXPECT_FALSE(refused.error().faults.empty());
}

// A rollback submits an old document as a change of the head. It must become a new version with a
// greater number, so that an instance with the bad version replaces it.
TEST_F(SettingsStoreTest, ARollbackIsANewVersion)
{
    change(whole("c1"));
    change(edit("c2", 1, "customers/kiyi/weight", "3"));
    SettingsChange back {
        "c3", 2, "ayla", "back to 1", {}, runTask(m_io, m_store.version(1))->yaml
    };
    const auto result = change(back);
    ASSERT_TRUE(result.has_value());
    EXPECT_EQ(result->version, 3U);
    EXPECT_EQ(result->hash, runTask(m_io, m_store.version(1))->hash);
}

// A client repeats a change after the version that it made was removed. The change row is removed
// with the version. If the change were made again, it would undo later changes.
TEST_F(SettingsStoreTest, ARepeatOfARemovedChangeIsNotMadeAgain)
{
    change(whole("c1"));
    for (std::uint64_t version = 1; version <= 4; ++version) {
        const std::string value = std::to_string(version + 1);
        change(edit("e" + value, version, "customers/kiyi/weight", value));
    }
    EXPECT_EQ(runTask(m_io, m_store.removeOld(2)).value(), 3U);
    EXPECT_EQ(runTask(m_io, m_store.removeOld(2)).value(), 0U);
    EXPECT_EQ(runTask(m_io, m_store.version(3)).error().kind, ErrorKind::NotFound);
    EXPECT_TRUE(runTask(m_io, m_store.version(4)).has_value());
    EXPECT_FALSE(change(edit("e2", 1, "customers/kiyi/weight", "2")).has_value());
    EXPECT_FALSE(change(edit("e3", 2, "customers/kiyi/weight", "3")).has_value());
    EXPECT_EQ(head(), 5U);
    EXPECT_EQ(audit(0, 10).size(), 5U);
    EXPECT_TRUE(runTask(m_io, m_store.removeOld(0)).has_value());
    EXPECT_EQ(runTask(m_io, m_store.head())->version, 5U);
}

} // namespace
} // namespace snipestall::peer
