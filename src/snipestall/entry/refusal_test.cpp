#include "refusal.hpp"

#include "snipestall/entry/request.hpp"
#include "snipestall/policy/command.hpp"

#include "peer.pb.h"

#include <boost/asio/io_context.hpp>

#include <gtest/gtest.h>

namespace snipestall::entry {
namespace {

class RefusalTest : public testing::Test
{
protected:
    RequestPtr forwardedAfterAnAttemptAtHome()
    {
        peer::v1::RequestRecord record;
        record.set_request("samsun-1~1");
        record.set_idempotent(true);
        record.set_maybe_sent(true);
        record.set_deadline_left_ms(60000);
        const RequestPtr request = Request::fromRecord(m_io.get_executor(), record, { 1 });
        request->forwarded = true;
        return request;
    }

    boost::asio::io_context m_io;
    policy::Refuse m_noCapacity { { 1 }, policy::RefusalReason::NoCapacity, {} };
};

// A review stops in the middle and never goes on. Its server was reclaimed, its home forwarded it
// with the offset reached, and the peer, which had no room and sent nothing, answered `failed`
// because bytes had left the home: three such answers within 0.2 s used up all offers of the
// request (508 with result 3 three times from one peer, then no line of it any more).
TEST_F(RefusalTest, APeerThatSentNothingDeclinesWhateverItsHomeSent)
{
    const RequestPtr request = forwardedAfterAnAttemptAtHome();
    EXPECT_EQ(refusal(*request, m_noCapacity).outcome, Outcome::NotRun);
    request->markSent();
    EXPECT_EQ(refusal(*request, m_noCapacity).outcome, Outcome::Failed);
}

// What the caller is told counts every attempt: "not run" must be true of all of them.
TEST_F(RefusalTest, TheCallerIsToldOfTheHomesOwnAttempts)
{
    const RequestPtr request = forwardedAfterAnAttemptAtHome();
    request->forwarded = false;
    EXPECT_EQ(refusal(*request, m_noCapacity).outcome, Outcome::Failed);
}

} // namespace
} // namespace snipestall::entry
