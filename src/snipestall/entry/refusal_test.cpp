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
    RequestPtr forwardedAfterAttemptAtHome()
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

// Guards against a stream that stops in the middle and never continues. Its server was reclaimed,
// its home forwarded it with the offset reached, and the peer, which had no capacity and sent
// nothing, answered `failed` because the home had sent bytes. Three such answers within 0.2 s used
// up all forwards of the request (the log showed event 508, attempt-ended, with result 3 three
// times from one peer, and then no further line for the request).
TEST_F(RefusalTest, APeerThatSentNothingAnswersNotRun)
{
    const RequestPtr request = forwardedAfterAttemptAtHome();
    EXPECT_EQ(refusal(*request, m_noCapacity).outcome, Outcome::NotRun);
    request->markSent();
    EXPECT_EQ(refusal(*request, m_noCapacity).outcome, Outcome::Failed);
}

// The answer to the caller covers every attempt: "not run" must be true of all of them.
TEST_F(RefusalTest, TheAnswerToTheCallerCoversTheAttemptsOfTheHome)
{
    const RequestPtr request = forwardedAfterAttemptAtHome();
    request->forwarded = false;
    EXPECT_EQ(refusal(*request, m_noCapacity).outcome, Outcome::Failed);
}

} // namespace
} // namespace snipestall::entry
