#include "snipestall/peer/record_keeper.hpp"

#include "snipestall/peer/membership.hpp"
#include "snipestall/peer/peer_network.hpp"
#include "snipestall/peer/record_source.hpp"
#include "snipestall/peer/settings_keeper.hpp"

#include "peer.pb.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <gtest/gtest.h>

namespace snipestall::peer {
namespace {

using namespace std::chrono_literals;

class FakeSource final : public RecordSource
{
public:
    [[nodiscard]] const std::string &requestId() const override { return m_id; }
    [[nodiscard]] std::uint64_t progress() const override { return 1; }
    [[nodiscard]] v1::RequestRecord record(bool whole, std::uint64_t from) const override
    {
        v1::RequestRecord record;
        record.set_request(m_id);
        record.set_whole(whole);
        record.set_output_offset(from);
        return record;
    }

private:
    std::string m_id = "samsun-1~1";
};

class RecordKeeperTest : public testing::Test
{
protected:
    RecordKeeperTest()
        : m_network(m_io, m_members, m_settings, 1, {})
        , m_keeper(m_io, m_members, m_network, 1,
                   [this](const v1::RequestRecord &record, bool released) {
                       m_orphans.emplace_back(record.request(), released);
                   })
    { }

    void receiveHeartbeat(const std::string &name, std::uint64_t incarnation = 1)
    {
        Heartbeat heartbeat;
        heartbeat.name = name;
        heartbeat.dataCentre = "samsun-hall";
        heartbeat.incarnation = incarnation;
        m_members.heartbeatReceived(heartbeat, std::chrono::steady_clock::time_point(1h));
    }

    /// A copy sent by another instance of the data centre.
    bool receive(const v1::RequestRecord &record)
    {
        v1::HoldRequest request;
        request.set_holder_of("samsun-2");
        request.set_incarnation(1);
        *request.add_records() = record;
        return m_keeper.onHold(request).accepted();
    }

    static v1::RequestRecord update(bool whole, std::uint64_t offset, int pieces)
    {
        v1::RequestRecord record;
        record.set_request("samsun-2~9");
        record.set_whole(whole);
        record.set_output_offset(offset);
        for (int i = 0; i < pieces; ++i)
            record.add_output("t" + std::to_string(offset + static_cast<std::uint64_t>(i)));
        return record;
    }

    boost::asio::io_context m_io;
    Membership m_members { "samsun-1", "samsun-hall", 3000ms };
    SettingsKeeper m_settings { "samsun-hall" };
    PeerNetwork m_network;
    std::vector<std::pair<std::string, bool>> m_orphans;
    RecordKeeper m_keeper;
};

// In the first second of a new data centre the only peer has sent a heartbeat but its address is
// not known yet. If the failed copy notifies hold() before hold() waits, nothing notifies it again:
// the caller never gets its answer and its connection hangs past every deadline.
TEST_F(RecordKeeperTest, ABuddyWithoutAnAddressDoesNotBlockTheAnswer)
{
    receiveHeartbeat("samsun-2");
    bool ended = false;
    bool held = true;
    boost::asio::co_spawn(
        m_io,
        [&]() -> wire::Task<void> {
            auto source = std::make_shared<FakeSource>();
            held = co_await m_keeper.hold(source);
            ended = true;
        },
        boost::asio::detached);
    m_io.run_for(5s);
    EXPECT_TRUE(ended);
    EXPECT_FALSE(held);
}

// An instance crashes during a stream and its buddy continues from the copy. If a lost update were
// skipped or a repeated one appended again, the caller would read an answer with a gap or a
// duplicated token.
TEST_F(RecordKeeperTest, ACopyHasNoGapAndNoRepeat)
{
    EXPECT_TRUE(receive(update(true, 0, 2)));
    EXPECT_TRUE(receive(update(false, 1, 3)));
    EXPECT_FALSE(receive(update(false, 9, 1)));
    const v1::RequestRecord *copy = m_keeper.copy("samsun-2~9");
    ASSERT_NE(copy, nullptr);
    ASSERT_EQ(copy->output_size(), 4);
    EXPECT_EQ(copy->output(3), "t3");
}

TEST_F(RecordKeeperTest, AnUpdateOfAnUnknownRequestIsRefusedSoThatAllOfItIsSent)
{
    EXPECT_FALSE(receive(update(false, 3, 1)));
    EXPECT_EQ(m_keeper.copy("samsun-2~9"), nullptr);
}

TEST_F(RecordKeeperTest, TheCopiesOfASuspectedHomeAreTakenOver)
{
    receiveHeartbeat("samsun-2");
    EXPECT_TRUE(receive(update(true, 0, 1)));
    m_members.tick(std::chrono::steady_clock::time_point(1h) + 4s);
    ASSERT_EQ(m_orphans.size(), 1U);
    EXPECT_FALSE(m_orphans[0].second);
    EXPECT_EQ(m_keeper.copies(), 0U);
}

// An instance is replaced so fast that it is never suspected. The new incarnation does not have the
// requests that the former one accepted, so they are lost unless the change of incarnation is
// noticed.
TEST_F(RecordKeeperTest, TheCopiesOfAFormerIncarnationAreTakenOver)
{
    receiveHeartbeat("samsun-2", 1);
    EXPECT_TRUE(receive(update(true, 0, 1)));
    receiveHeartbeat("samsun-2", 2);
    EXPECT_EQ(m_orphans.size(), 1U);
}

TEST_F(RecordKeeperTest, ALeavingInstanceTakesNoCopies)
{
    m_members.setSelfLeaving();
    EXPECT_FALSE(receive(update(true, 0, 1)));
}

} // namespace
} // namespace snipestall::peer
