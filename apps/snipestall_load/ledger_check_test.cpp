#include "ledger_check.hpp"

#include <gtest/gtest.h>

namespace snipestall::load {
namespace {

CallRecord refused(const std::string &request)
{
    CallRecord record;
    record.outcome = CallOutcome::NotRun;
    record.request = request;
    record.refusals.push_back({ request, true });
    return record;
}

Ledger ledgerOf(const std::string &json)
{
    Ledger ledger;
    EXPECT_TRUE(ledger.addBody(json).has_value());
    return ledger;
}

// A request is dispatched just as its deadline expires: the engine receives the prompt, but the
// caller is answered that nothing was run. The record of the engine shows that the request was run,
// unless the engine refused the attempt.
TEST(LedgerCheckTest, ARefusedRequestThatRanIsFound)
{
    const auto ledger = ledgerOf(R"({"attempts":[
        {"request":"r1","attempt":"a1","ended":"cancelled","produced":0},
        {"request":"r2","attempt":"a2","ended":"refused","produced":0}]})");
    const std::vector<CallRecord> records { refused("r1"), refused("r2") };
    const auto findings = checkLedger(records, ledger);
    ASSERT_EQ(findings.violations.size(), 1);
    EXPECT_EQ(findings.violations.front().kind, ViolationKind::FalseNotRun);
}

// A top-up is sent twice with one key and runs at two services. Each service counts one run; only
// the sum shows that the top-up took effect twice.
TEST(LedgerCheckTest, RunsOfOneKeyAddUpOverServices)
{
    Ledger ledger = ledgerOf(R"({"runs":[{"key":"k","request":"r1","count":1}]})");
    ASSERT_TRUE(ledger.addBody(R"({"runs":[{"key":"k","request":"r2","count":1}]})").has_value());
    CallRecord record;
    record.outcome = CallOutcome::Completed;
    record.service = true;
    record.idempotent = false;
    record.idempotencyKey = "k";
    const std::vector<CallRecord> records { record, record };
    const auto findings = checkLedger(records, ledger);
    ASSERT_EQ(findings.violations.size(), 1);
    EXPECT_EQ(findings.violations.front().kind, ViolationKind::Doubled);
}

TEST(LedgerCheckTest, RecomputedTokensAreThoseOfLaterAttempts)
{
    const auto ledger = ledgerOf(R"({"attempts":[
        {"request":"r","attempt":"a1","from":0,"produced":30,"prefilled":100,"ended":"cut"},
        {"request":"r","attempt":"a2","from":20,"produced":40,"prefilled":120,
         "ended":"completed"}]})");
    const auto findings = checkLedger({}, ledger);
    EXPECT_EQ(findings.repeatedAttempts, 1);
    EXPECT_EQ(findings.recomputedTokens, 130);
}

} // namespace
} // namespace snipestall::load
