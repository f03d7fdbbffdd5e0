// Tests of a large configuration, over the whole path on loopback.

#include "gateway_fixture.hpp"

#include "snipestall/base/random.hpp"

#include <boost/algorithm/string/replace.hpp>

#include <string>

namespace snipestall::gateway {
namespace {

using namespace std::chrono_literals;
using wire::Task;

constexpr std::size_t Routes = 2000;

class LargeSettingsTest : public GatewayPathTest
{
protected:
    LargeSettingsTest()
    {
        publish();
        m_other = startInstance(settingsOf("edge-2"));
    }

    /// The configuration of the fixture with another version and many routes more.
    std::string largeConfig()
    {
        std::string routes = R"("routes":[)";
        for (std::size_t i = 0; i < Routes; ++i)
            routes += R"({"name":"r-)" + std::to_string(m_random.next())
                + R"(","host":"a.example",)" + R"("prefix":"/)" + std::to_string(m_random.next())
                + R"(/","routeType":"idempotent","timeoutMs":5000,"targetLatencyMs":1000,)"
                  R"("service":"ledger","maxAttempts":2},)";
        std::string text = GatewayTestConfig;
        boost::algorithm::replace_first(text, R"("version":3)",
                                        R"("version":)" + std::to_string(++m_version));
        boost::algorithm::replace_first(text, R"("routes":[)",
                                        routes + R"({"name":"last","host":"a.example","prefix":"/v)"
                                            + std::to_string(m_version)
                                            + R"(/","routeType":"idempotent","timeoutMs":5000,)"
                                              R"("targetLatencyMs":1000,"service":"ledger",)"
                                              R"("maxAttempts":2},)");
        return text;
    }

    Task<void> untilServed(wire::Endpoint callers)
    {
        wire::HttpResponse response;
        do {
            co_await wire::sleepFor(5ms);
            response = co_await fetch(callers, "/v" + std::to_string(m_version) + "/x");
        } while (response.status != 200);
    }

    Random m_random { 20261204 };
    int m_version = 10;
    Instance m_other;
};

// Guards against an instance that has an old configuration for seconds: a row that is too large for
// the reports has to come from the instance that reads the store, part by part.
TEST_F(LargeSettingsTest, ReachAnInstanceThatDoesNotReadTheStore)
{
    run([this]() -> Task<void> {
        co_await untilServing();
        co_await untilServing(m_other.metrics, 2);
        // Both read the store until they know each other.
        co_await wire::sleepFor(3s);
        for (int change = 0; change < 3; ++change) {
            m_store.put({ "op", "", "config" }, largeConfig());
            co_await untilServed(m_callers);
            co_await untilServed(m_other.callers);
        }
        const auto mine = co_await fetch(m_metrics, "/metrics");
        const auto others = co_await fetch(m_other.metrics, "/metrics");
        const std::string none = "snipestall_gateway_changes_fetched 0\n";
        EXPECT_TRUE(mine.body.find(none) == std::string::npos
                    || others.body.find(none) == std::string::npos);
    });
}

} // namespace
} // namespace snipestall::gateway
