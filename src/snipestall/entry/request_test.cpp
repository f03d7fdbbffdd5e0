#include "snipestall/entry/request.hpp"

#include "peer.pb.h"

#include <boost/asio/io_context.hpp>

#include <gtest/gtest.h>

namespace snipestall::entry {
namespace {

class RequestTest : public testing::Test
{
protected:
    RequestPtr make()
    {
        RequestSpec spec;
        spec.id = "samsun-1~1";
        spec.deadline = std::chrono::steady_clock::now() + std::chrono::hours(1);
        return Request::create(m_io.get_executor(), std::move(spec), { 1 });
    }

    boost::asio::io_context m_io;
};

// An abandoned attempt may still produce output beside its successor. If pieces were appended in
// the order of arrival, a caller would read a token twice or miss one.
TEST_F(RequestTest, OnlyTheNextOffsetIsAppended)
{
    const RequestPtr request = make();
    EXPECT_TRUE(request->append(0, "a"));
    EXPECT_TRUE(request->append(0, "other"));
    EXPECT_FALSE(request->append(2, "c"));
    EXPECT_TRUE(request->append(1, "b"));
    EXPECT_EQ(request->nextOffset(), 2U);
    EXPECT_EQ(request->piece(0), "a");
}

TEST_F(RequestTest, OnlyTheFirstFinalAnswerCounts)
{
    const RequestPtr request = make();
    FinalAnswer completed;
    completed.outcome = Outcome::Completed;
    EXPECT_TRUE(request->finish(completed));
    EXPECT_FALSE(request->finish({}));
    EXPECT_FALSE(request->append(0, "late"));
    EXPECT_EQ(request->finalAnswer()->outcome, Outcome::Completed);
}

// The owner of a running forward freezes, and the deadline passes before it has reported whether it
// sent anything. If the answer were "not run", the caller would send the request again and it would
// run twice.
TEST_F(RequestTest, AForwardUnderWayMayHaveBeenSent)
{
    const RequestPtr request = make();
    EXPECT_FALSE(request->maybeSent());
    ++request->unconfirmedForwards;
    EXPECT_TRUE(request->maybeSent());
    --request->unconfirmedForwards;
    EXPECT_FALSE(request->maybeSent());
    request->markSent();
    EXPECT_TRUE(request->maybeSent());
}

TEST_F(RequestTest, ARecordTransfersTheWholeState)
{
    const RequestPtr request = make();
    request->append(0, "a");
    request->append(1, "b");
    request->markSent();
    request->crashedServers().insert("engine-1");
    const RequestPtr there =
        Request::fromRecord(m_io.get_executor(), request->record(true, 0), { 2 });
    EXPECT_EQ(there->nextOffset(), 2U);
    EXPECT_EQ(there->piece(1), "b");
    EXPECT_TRUE(there->maybeSent());
    EXPECT_TRUE(there->crashedServers().contains("engine-1"));
    EXPECT_EQ(request->record(false, 1).output_size(), 1);
}

} // namespace
} // namespace snipestall::entry
