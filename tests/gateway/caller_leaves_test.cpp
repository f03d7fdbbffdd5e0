#include "gateway_fixture.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

namespace snipestall::gateway {
namespace {

using namespace std::chrono_literals;
using boost::asio::ip::tcp;
using wire::Task;

class CallerLeavesTest : public GatewayPathTest
{
protected:
    tcp::socket connect()
    {
        tcp::socket socket(m_io);
        socket.connect({ boost::asio::ip::make_address(m_callers.host), m_callers.port });
        return socket;
    }

    static std::string requestText(const std::string &attempt)
    {
        return "GET /safe/x HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: " + attempt
            + "\r\nX-Deadline-Ms: 5000\r\nAuthorization: Bearer secret\r\n\r\n";
    }

    [[nodiscard]] std::size_t runs() const { return m_first.ran().size() + m_second.ran().size(); }
};

// Guards against running a request whose caller closed its connection before the gateway had read
// the request.
TEST_F(CallerLeavesTest, ARequestWhoseCallerHasLeftIsNotSent)
{
    publish();
    run([this]() -> Task<void> {
        co_await untilServing();
        // Opens a kept-alive connection to each server, so that a request is sent as soon as it has
        // been read.
        while (m_first.ran().empty() || m_second.ran().empty())
            co_await fetch(m_callers, "/safe/x");
        const std::size_t before = runs();
        {
            tcp::socket caller = connect();
            boost::asio::write(caller, boost::asio::buffer(requestText("left-1")));
        }
        co_await untilMetric(m_metrics, "snipestall_gateway_callers_gone", 1);
        EXPECT_EQ(runs(), before);
    });
}

// Guards against running on for a caller that has left: the caller had already sent its next
// request on the same connection, and the gateway did not see the connection close behind it.
TEST_F(CallerLeavesTest, ACallerIsSeenToLeaveBehindItsNextRequest)
{
    publish();
    m_first.behave(TestBackend::Behaviour::Hang);
    m_second.behave(TestBackend::Behaviour::Hang);
    run([this]() -> Task<void> {
        co_await untilServing();
        {
            tcp::socket caller = connect();
            boost::asio::write(caller, boost::asio::buffer(requestText("early-1")));
            while (runs() == 0)
                co_await wire::sleepFor(5ms);
            boost::asio::write(caller, boost::asio::buffer(requestText("early-2")));
            co_await wire::sleepFor(20ms);
        }
        co_await untilMetric(m_metrics, "snipestall_gateway_callers_gone", 1);
        co_await untilMetric(m_metrics, "snipestall_gateway_in_flight", 0);
        EXPECT_EQ(runs(), 1U);
    });
}

} // namespace
} // namespace snipestall::gateway
