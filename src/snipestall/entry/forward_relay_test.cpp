#include "snipestall/entry/forward_relay.hpp"

#include "snipestall/peer/forward_sink.hpp"

#include "peer.pb.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

#include <gtest/gtest.h>

#include <functional>
#include <vector>

namespace snipestall::entry {
namespace {

class RecordingSink final : public peer::ForwardSink
{
public:
    void write(const peer::v1::ForwardEvent &event) override { events.push_back(event); }
    void finish() override { }
    void onCancelled(std::function<void()>) override { }

    std::vector<peer::v1::ForwardEvent> events;
};

// Guards against a prompt crashing a third server: the owner to which it was forwarded lost two
// servers to it but named only one of them, and the home, which had not yet received the crash
// reports of its peers, ran the prompt once more itself.
TEST(ForwardRelayTest, TheHomeLearnsOfEveryCrashedServer)
{
    boost::asio::io_context io;
    RequestSpec spec;
    spec.id = "samsun-1~1";
    const RequestPtr request = Request::create(io.get_executor(), std::move(spec), { 1 });
    request->crashedServers() = { "engine-1", "engine-2" };
    FinalAnswer answer;
    answer.outcome = Outcome::Failed;
    request->finish(std::move(answer));
    const auto sink = std::make_shared<RecordingSink>();
    boost::asio::co_spawn(io,
                          relayToPeer(request, "a-1", sink, std::make_shared<bool>(false), false),
                          boost::asio::detached);
    io.run();
    ASSERT_EQ(sink->events.size(), 1U);
    EXPECT_EQ(sink->events.front().crashed_servers_size(), 2);
}

} // namespace
} // namespace snipestall::entry
