#include "platform/table.hpp"

#include <gtest/gtest.h>

namespace snipestall::standins {
namespace {

using platform::RowKey;

const RowKey KeyA { "t", "a" };
const RowKey KeyB { "t", "b" };

std::uint64_t versionOf(const Table &table, const RowKey &key)
{
    const auto rows = table.read({ &key, 1 });
    return rows.empty() ? 0 : rows.front().version;
}

TEST(TableTest, FailedConditionPreventsAllWrites)
{
    Table table;
    ASSERT_TRUE(table.transact({ { { KeyA, 0 } }, { { KeyA, "1" } } }).committed);
    const auto outcome =
        table.transact({ { { KeyA, 0 }, { KeyB, 0 } }, { { KeyA, "2" }, { KeyB, "2" } } });
    EXPECT_FALSE(outcome.committed);
    ASSERT_EQ(outcome.conflicts.size(), 1);
    EXPECT_EQ(outcome.conflicts.front().value, "1");
    EXPECT_EQ(versionOf(table, KeyB), 0);
    EXPECT_EQ(versionOf(table, KeyA), 1);
}

// Guards against a lost update: a row is deleted and recreated with the same content while a client
// still holds its old version. If the version were reused, the write of that client would overwrite
// a row that it never read.
TEST(TableTest, VersionIsNotReusedAfterDeletion)
{
    Table table;
    table.transact({ {}, { { KeyA, "1" } } });
    const auto before = versionOf(table, KeyA);
    table.transact({ {}, { { KeyA, std::nullopt } } });
    table.transact({ { { KeyA, 0 } }, { { KeyA, "1" } } });
    EXPECT_GT(versionOf(table, KeyA), before);
    EXPECT_FALSE(table.transact({ { { KeyA, before } }, {} }).committed);
}

TEST(TableTest, ScanContinuesAfterLastKeyWithinPrefix)
{
    Table table;
    for (const auto *key : { "p/1", "p/2", "p/3", "q/1" })
        table.transact({ {}, { { { "t", key }, "v" } } });
    table.transact({ {}, { { { "u", "p/4" }, "v" } } });
    const auto first = table.scan("t", "p/", "", 2);
    ASSERT_EQ(first.size(), 2);
    const auto rest = table.scan("t", "p/", first.back().key.key, 10);
    ASSERT_EQ(rest.size(), 1);
    EXPECT_EQ(rest.front().key.key, "p/3");
}

} // namespace
} // namespace snipestall::standins
