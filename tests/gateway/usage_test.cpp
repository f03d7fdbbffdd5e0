// Tests of how the usage of a large fleet is stored, over the whole path of the gateways on
// loopback.

#include "gateway_fixture.hpp"

#include <algorithm>
#include <vector>

namespace snipestall::gateway {
namespace {

using namespace std::chrono_literals;
using wire::Task;

/// In a fleet of more than twelve instances the first twelve by name are hubs and the others are
/// their members.
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

    /// Counts the rows of usage counts whose key begins with `keyPrefix`.
    [[nodiscard]] std::size_t rowsOf(const std::string &keyPrefix) const
    {
        const auto rows = m_store.rowsOf("usage-counts");
        return static_cast<std::size_t>(
            std::count_if(rows.begin(), rows.end(), [&](const platform::StoredRow &row) {
                return row.name.key.starts_with(keyPrefix);
            }));
    }

    /// Returns whether a hub has stored usage counts of this instance.
    [[nodiscard]] bool storedByHub(const std::string &instance) const
    {
        const auto rows = m_store.rowsOf("usage-counts");
        return std::any_of(rows.begin(), rows.end(), [&](const platform::StoredRow &row) {
            return row.name.key.find('+') != std::string::npos
                && row.value.find("\"" + instance + "/") != std::string::npos;
        });
    }

    Task<void> sendUntil(std::function<bool()> done)
    {
        while (!done()) {
            co_await fetch(m_others.back().callers, "/safe/x", "POST");
            co_await wire::sleepFor(20ms);
        }
    }

    std::vector<Instance> m_others;
};

// Guards against hundreds of writes to the store for each window of a large fleet, one by each
// instance: a hub stores what its members reported together with the counts of the others, and the
// members do not store it themselves.
TEST_F(UsageTest, AHubStoresWhatItsMembersCounted)
{
    publish();
    run([this]() -> Task<void> {
        co_await untilServing();
        co_await untilServing(m_others.back().metrics, 2);
        co_await sendUntil([this] { return storedByHub(Member); });
        const std::size_t ownRows = rowsOf(std::string(Member) + "/");
        // A member stores the windows that ended before it had received an answer from its hub.
        EXPECT_LE(ownRows, 2U);
        // Three windows later, the member has still stored no further window.
        const auto begun = std::chrono::steady_clock::now();
        co_await sendUntil([&] { return std::chrono::steady_clock::now() - begun > 3s; });
        EXPECT_LE(rowsOf(std::string(Member) + "/"), ownRows);
    });
}

} // namespace
} // namespace snipestall::gateway
