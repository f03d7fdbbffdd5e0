// How the usage of a large fleet gets into the store, over the gateways' whole path on loopback.

#include "gateway_fixture.hpp"

#include <algorithm>
#include <vector>

namespace snipestall::gateway {
namespace {

using namespace std::chrono_literals;
using wire::Task;

/// Beyond twelve instances the first twelve by name are hubs and the others their members.
constexpr int Others = 14;
constexpr auto Member = "edge-23";

class UsageTest : public GatewayPathTest
{
protected:
    UsageTest()
    {
        for (int i = 0; i < Others; ++i) {
            GatewaySettings settings = settingsOf("edge-" + std::to_string(10 + i));
            settings.bounds.usageWindow = 1s;
            m_others.push_back(startInstance(settings));
        }
    }

    /// Rows of counts whose key begins so.
    [[nodiscard]] std::size_t rowsOf(const std::string &keyPrefix) const
    {
        const auto rows = m_store.rowsOf("usage-counts");
        return static_cast<std::size_t>(
            std::count_if(rows.begin(), rows.end(), [&](const platform::StoredRow &row) {
                return row.name.key.starts_with(keyPrefix);
            }));
    }

    /// Whether a hub has stored counts of this instance.
    [[nodiscard]] bool storedByHub(const std::string &instance) const
    {
        const auto rows = m_store.rowsOf("usage-counts");
        return std::any_of(rows.begin(), rows.end(), [&](const platform::StoredRow &row) {
            return row.name.key.find('+') != std::string::npos
                && row.value.find("\"" + instance + "/") != std::string::npos;
        });
    }

    Task<void> askUntil(std::function<bool()> done)
    {
        while (!done()) {
            co_await fetch(m_others.back().callers, "/safe/x", "POST");
            co_await wire::sleepFor(20ms);
        }
    }

    std::vector<Instance> m_others;
};

// The store is written to hundreds of times for each window of a large fleet, once by each
// instance: what a member has told its hub, the hub stores with that of the others, and the member
// does not.
TEST_F(UsageTest, AHubStoresWhatItsMembersCounted)
{
    publish();
    run([this]() -> Task<void> {
        co_await untilServing();
        co_await untilServing(m_others.back().metrics, 2);
        co_await askUntil([this] { return storedByHub(Member); });
        const std::size_t ownRows = rowsOf(std::string(Member) + "/");
        // Windows that ended before it had heard its hub are its own to store.
        EXPECT_LE(ownRows, 2U);
        // Three windows on, it has still stored none.
        const auto begun = std::chrono::steady_clock::now();
        co_await askUntil([&] { return std::chrono::steady_clock::now() - begun > 3s; });
        EXPECT_LE(rowsOf(std::string(Member) + "/"), ownRows);
    });
}

} // namespace
} // namespace snipestall::gateway
