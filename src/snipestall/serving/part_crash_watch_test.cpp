#include "snipestall/serving/part_crash_watch.hpp"

#include <gtest/gtest.h>

#include <string>
#include <utility>
#include <vector>

namespace snipestall::serving {
namespace {

using namespace std::chrono_literals;
using Verdict = PartCrashWatch::Verdict;

const SteadyTime Start { 1000s };
constexpr std::uint64_t Shared = 1;
constexpr std::uint64_t Crashing = 2;
constexpr std::uint64_t Own = 3;

PromptParts partsOf(std::vector<std::uint64_t> ids)
{
    return { "pool", "m", std::move(ids) };
}

void tell(const PartCrashWatch &from, PartCrashWatch &to, SteadyTime now)
{
    for (const PartReport &report : from.reports(false, now))
        to.receive(report, now);
}

/// Servers end one after the other, a tenth of a second apart, under requests with these parts.
void crash(PartCrashWatch &watch, const PromptParts &parts, int count, SteadyTime at,
           const std::string &prefix = "s")
{
    for (int i = 0; i < count; ++i) {
        const SteadyTime time = at + i * 100ms;
        watch.serverEnded(parts, prefix + std::to_string(i), time, time);
    }
}

// Guards against requests that crash server after server because they have only one part in common.
TEST(PartCrashWatch, APartLeftWithThreeEndsIsBlocked)
{
    PartCrashWatch watch;
    crash(watch, partsOf({ Shared, Crashing }), 3, Start);
    EXPECT_EQ(watch.verdict(partsOf({ Crashing }), Start + 300ms), Verdict::Suspected);
    watch.answered(partsOf({ Shared }), Start + 400ms);
    const SteadyTime settled = Start + 300ms + PartCrashWatch::SettleTime;
    EXPECT_EQ(watch.verdict(partsOf({ Crashing }), settled), Verdict::Blocked);
    EXPECT_EQ(watch.verdict(partsOf({ Shared, Own }), settled), Verdict::Allowed);
    EXPECT_EQ(watch.verdict({ "pool", "other", { Crashing } }, settled), Verdict::Allowed);
    EXPECT_EQ(watch.verdict({ "other", "m", { Crashing } }, settled), Verdict::Allowed);
    EXPECT_EQ(watch.verdict(partsOf({ Crashing }), Start + 24h), Verdict::Blocked);
}

// Guards against refusing all requests with a system prompt that was in flight at three servers
// when they ended, although it is answered elsewhere all the time.
TEST(PartCrashWatch, APartThatIsAnsweredIsNotBlocked)
{
    PartCrashWatch watch;
    crash(watch, partsOf({ Shared }), 5, Start);
    watch.answered(partsOf({ Shared }), Start + 700ms);
    EXPECT_EQ(watch.verdict(partsOf({ Shared }), Start + 5s), Verdict::Allowed);
    // Two more ends are not enough, although seven are in the record.
    crash(watch, partsOf({ Shared }), 2, Start + 6s, "t");
    EXPECT_EQ(watch.verdict(partsOf({ Shared }), Start + 10s), Verdict::Allowed);
}

// A part that has always been answered turns bad.
TEST(PartCrashWatch, APartThatWasAnsweredBeforeItsEndsIsBlocked)
{
    PartCrashWatch watch;
    watch.answered(partsOf({ Shared, Crashing }), Start - 1s);
    crash(watch, partsOf({ Shared, Crashing }), 3, Start);
    watch.answered(partsOf({ Shared }), Start + 500ms);
    EXPECT_EQ(watch.verdict(partsOf({ Crashing }), Start + 2s), Verdict::Blocked);
}

// Without an answer in between, all parts of the requests have as many ends. The one that was never
// answered is taken for the cause, not the one that all other requests have as well.
TEST(PartCrashWatch, OfPartsWithAsManyEndsTheOneThatWasNotAnsweredIsBlocked)
{
    PartCrashWatch watch;
    watch.answered(partsOf({ Shared }), Start - 30s);
    crash(watch, partsOf({ Shared, Crashing }), 3, Start);
    EXPECT_EQ(watch.verdict(partsOf({ Crashing }), Start + 2s), Verdict::Blocked);
    EXPECT_EQ(watch.verdict(partsOf({ Shared }), Start + 2s), Verdict::Allowed);
}

// Guards against refusing all requests of a service whose servers have all ended before anything
// was answered: the part that all requests have has as many ends as the cause, and no answer
// either.
TEST(PartCrashWatch, OfPartsThatWereNeverAnsweredTheRarerOneIsBlocked)
{
    PartCrashWatch watch;
    crash(watch, partsOf({ Shared, Crashing }), 3, Start);
    EXPECT_EQ(watch.verdict(partsOf({ Shared, Crashing }), Start + 300ms), Verdict::Suspected);
    EXPECT_EQ(watch.verdict(partsOf({ Shared, Own }), Start + 300ms), Verdict::Suspected);
    EXPECT_EQ(watch.verdict(partsOf({ Crashing }), Start + 2s), Verdict::Blocked);
    EXPECT_EQ(watch.verdict(partsOf({ Shared, Own }), Start + 2s), Verdict::Allowed);
}

// Guards against an instance that saw the ends of the part that all requests have itself, and
// blocked it before it had heard as much of the cause.
TEST(PartCrashWatch, NoPartIsBlockedBeforeAnotherOneWithAsManyEndsIsDue)
{
    PartCrashWatch watch;
    PartCrashWatch other;
    crash(watch, partsOf({ Shared }), 3, Start);
    crash(other, partsOf({ Shared, Crashing }), 3, Start);
    EXPECT_EQ(watch.verdict(partsOf({ Shared, Own }), Start + 300ms), Verdict::Suspected);
    tell(other, watch, Start + 600ms);
    EXPECT_EQ(watch.verdict(partsOf({ Shared, Own }), Start + 1500ms), Verdict::Suspected);
    EXPECT_EQ(watch.verdict(partsOf({ Crashing }), Start + 1700ms), Verdict::Blocked);
    EXPECT_EQ(watch.verdict(partsOf({ Shared, Own }), Start + 1700ms), Verdict::Allowed);
}

// Guards against an instance that got no requests itself, and so blocked the part that all requests
// have with the cause, for all instances.
TEST(PartCrashWatch, AnInstanceWithoutRequestsDoesNotBlockThePartThatAllRequestsHave)
{
    PartCrashWatch seeing;
    PartCrashWatch idle;
    for (PartCrashWatch *watch : { &seeing, &idle })
        crash(*watch, partsOf({ Shared, Crashing }), 3, Start);
    EXPECT_EQ(seeing.verdict(partsOf({ Shared, Crashing }), Start + 300ms), Verdict::Suspected);
    EXPECT_EQ(seeing.verdict(partsOf({ Shared, Own }), Start + 300ms), Verdict::Suspected);
    for (int i = 0; i < 12; ++i) {
        const SteadyTime now = Start + 1s + i * 200ms;
        idle.update(now);
        seeing.update(now);
        tell(idle, seeing, now);
        tell(seeing, idle, now);
    }
    for (PartCrashWatch *watch : { &seeing, &idle }) {
        EXPECT_EQ(watch->verdict(partsOf({ Crashing }), Start + 4s), Verdict::Blocked);
        EXPECT_EQ(watch->verdict(partsOf({ Shared, Own }), Start + 4s), Verdict::Allowed);
    }
}

// Guards against refusing all requests of a service, where only requests with the cause were seen,
// instead of those that have all the parts that may be the cause.
TEST(PartCrashWatch, RequestsWithAllPartsThatNothingTellsApartAreRefusedUntilAnAnswerTells)
{
    PartCrashWatch watch;
    crash(watch, partsOf({ Shared, Crashing }), 3, Start);
    EXPECT_EQ(watch.verdict(partsOf({ Shared, Crashing }), Start + 2s), Verdict::Blocked);
    EXPECT_EQ(watch.verdict(partsOf({ Shared, Shared, Own }), Start + 2s), Verdict::Allowed);
    EXPECT_EQ(watch.blockedParts(), 0U);
    EXPECT_TRUE(watch.explains("s0"));
    watch.answered(partsOf({ Shared, Own }), Start + 3s);
    EXPECT_EQ(watch.verdict(partsOf({ Crashing }), Start + 3s), Verdict::Blocked);
    EXPECT_EQ(watch.verdict(partsOf({ Shared }), Start + 3s), Verdict::Allowed);
}

// The same where the part that all requests have is the cause: the next end tells.
TEST(PartCrashWatch, OfPartsThatNothingToldApartTheOneWithAFurtherEndIsBlocked)
{
    PartCrashWatch watch;
    crash(watch, partsOf({ Shared, Crashing }), 3, Start);
    EXPECT_EQ(watch.verdict(partsOf({ Shared, Crashing }), Start + 2s), Verdict::Blocked);
    crash(watch, partsOf({ Shared, Own }), 1, Start + 3s, "t");
    EXPECT_EQ(watch.verdict(partsOf({ Shared, Own }), Start + 3s), Verdict::Blocked);
    EXPECT_EQ(watch.verdict(partsOf({ Crashing }), Start + 3s), Verdict::Allowed);
}

// Guards against parts that are in no other requests, and would be forgotten by a restart.
TEST(PartCrashWatch, PartsThatNothingTellsApartAreBlockedInTheEnd)
{
    PartCrashWatch watch;
    crash(watch, partsOf({ Shared, Crashing }), 3, Start);
    watch.update(Start + 200ms);
    watch.update(Start + 2s);
    EXPECT_EQ(watch.blockedParts(), 0U);
    watch.update(Start + 2s + PartCrashWatch::GroupTime);
    EXPECT_EQ(watch.blockedParts(), 2U);
    EXPECT_TRUE(watch.mustStore());
}

// Guards against blocking a rare part of sound requests that were beside crashing ones three times.
TEST(PartCrashWatch, EndsThatABlockedPartExplainsDoNotCountAgainstOthers)
{
    PartCrashWatch watch;
    crash(watch, partsOf({ Crashing }), 4, Start);
    crash(watch, partsOf({ Own }), 3, Start);
    EXPECT_EQ(watch.verdict(partsOf({ Crashing }), Start + 2s), Verdict::Blocked);
    EXPECT_EQ(watch.verdict(partsOf({ Own }), Start + 2s), Verdict::Allowed);
    EXPECT_TRUE(watch.explains("s0"));
    EXPECT_FALSE(watch.explains("x"));
}

TEST(PartCrashWatch, TwoCrashingPartsAreBothBlocked)
{
    PartCrashWatch watch;
    crash(watch, partsOf({ Shared, Crashing }), 5, Start, "s");
    crash(watch, partsOf({ Shared, Own }), 3, Start, "t");
    watch.answered(partsOf({ Shared }), Start + 600ms);
    EXPECT_EQ(watch.verdict(partsOf({ Crashing }), Start + 2s), Verdict::Blocked);
    EXPECT_EQ(watch.verdict(partsOf({ Own }), Start + 2s), Verdict::Blocked);
    EXPECT_EQ(watch.verdict(partsOf({ Shared }), Start + 2s), Verdict::Allowed);
}

// Guards against an instance that has seen no answer, because it has just started or is cut off,
// and has a part blocked everywhere that the others answer.
TEST(PartCrashWatch, ABlockIsRefutedByALaterAnswerElsewhere)
{
    PartCrashWatch cutOff;
    PartCrashWatch other;
    crash(cutOff, partsOf({ Shared }), 3, Start);
    EXPECT_EQ(cutOff.verdict(partsOf({ Shared }), Start + 2s), Verdict::Blocked);
    other.answered(partsOf({ Shared }), Start + 1s);
    tell(cutOff, other, Start + 2s);
    EXPECT_EQ(other.verdict(partsOf({ Shared }), Start + 2s), Verdict::Allowed);
    tell(other, cutOff, Start + 2200ms);
    EXPECT_EQ(cutOff.verdict(partsOf({ Shared }), Start + 3s), Verdict::Allowed);
}

// Guards against an instance that was suspended while the others learned of a part.
TEST(PartCrashWatch, ABlockIsToldForAsLongAsItLasts)
{
    PartCrashWatch watch;
    PartCrashWatch late;
    crash(watch, partsOf({ Crashing }), 3, Start);
    watch.update(Start + 200ms);
    watch.update(Start + 2s);
    tell(watch, late, Start + 10min);
    EXPECT_EQ(late.verdict(partsOf({ Crashing }), Start + 10min), Verdict::Blocked);
}

// Guards against crashes that are told round forever, because each instance takes what it hears for
// news.
TEST(PartCrashWatch, WhatIsKnownIsNotToldAgain)
{
    PartCrashWatch left;
    PartCrashWatch right;
    crash(left, partsOf({ Crashing }), 2, Start);
    for (int i = 1; i <= 20; ++i) {
        const SteadyTime now = Start + i * 500ms;
        tell(left, right, now);
        tell(right, left, now);
    }
    EXPECT_TRUE(left.reports(false, Start + 11s).empty());
    EXPECT_FALSE(left.reports(true, Start + 11s).empty());
}

// Guards against a part that a process forgets to be blocked when it is restarted.
TEST(PartCrashWatch, WhatTheStoreKeepsIsBlocked)
{
    PartCrashWatch before;
    crash(before, partsOf({ Crashing }), 3, Start);
    before.update(Start + 200ms);
    before.update(Start + 2s);
    before.rowRead({}, Start + 2s);
    ASSERT_TRUE(before.mustStore());
    const std::vector<StoredPart> row = before.updated({}, "p1", Start + 2s);
    before.rowRead(row, Start + 2s);
    EXPECT_FALSE(before.mustStore());

    PartCrashWatch after;
    EXPECT_FALSE(after.known());
    after.rowRead(row, Start + 60s);
    EXPECT_TRUE(after.known());
    EXPECT_EQ(after.verdict(partsOf({ Crashing }), Start + 60s), Verdict::Blocked);
    // An operator removes the entry.
    after.rowRead({}, Start + 90s);
    EXPECT_EQ(after.verdict(partsOf({ Crashing }), Start + 90s), Verdict::Allowed);
    EXPECT_FALSE(after.mustStore());
}

// Guards against a block without end where it was a mistake, and against a trial by each instance
// where it was none.
TEST(PartCrashWatch, ABlockedPartIsTriedOnce)
{
    PartCrashWatch watch;
    const PromptParts parts = partsOf({ Crashing });
    crash(watch, parts, 3, Start);
    watch.update(Start + 200ms);
    watch.update(Start + 2s);
    std::vector<StoredPart> row = watch.updated({}, "p1", Start + 2s);
    watch.rowRead(row, Start + 2s);
    EXPECT_FALSE(watch.takeTrial(parts, Start + 3s));
    EXPECT_FALSE(watch.trialDue(Start + 3s));
    const SteadyTime due = Start + 3s + PartCrashWatch::TrialAfter;
    ASSERT_TRUE(watch.trialDue(due));
    row = watch.updated(row, "p1", due);
    EXPECT_EQ(row.at(0).triedBy, "p1");
    watch.trialsGranted(row, "p1", due);
    EXPECT_TRUE(watch.takeTrial(parts, due + 1s));
    EXPECT_FALSE(watch.takeTrial(parts, due + 2s));
    EXPECT_FALSE(watch.trialDue(due + 24h));

    PartCrashWatch other;
    other.rowRead(row, due);
    other.trialsGranted(row, "p2", due);
    EXPECT_FALSE(other.takeTrial(parts, due + 1s));
    EXPECT_FALSE(other.trialDue(due + 24h));

    // The trial is answered: the part is allowed, and leaves the row.
    watch.answered(parts, due + 3s);
    EXPECT_EQ(watch.verdict(parts, due + 3s), Verdict::Allowed);
    EXPECT_TRUE(watch.mustStore());
    EXPECT_TRUE(watch.updated(row, "p1", due + 3s).empty());
}

// Guards against a caller who fills the memory with parts of its own.
TEST(PartCrashWatch, ItsSizeIsBounded)
{
    PartCrashWatch watch;
    crash(watch, partsOf({ Crashing }), 3, Start);
    watch.update(Start + 200ms);
    for (std::uint64_t i = 0; i < 20000; ++i) {
        const PromptParts parts = partsOf({ 1000 + i });
        watch.answered(parts, Start + 300ms);
        watch.serverEnded(parts, "x" + std::to_string(i), Start + 400ms, Start + 400ms);
    }
    EXPECT_LE(watch.reports(true, Start + 1s).size(), 32U);
    std::size_t ends = 0;
    for (const PartReport &report : watch.reports(true, Start + 1s))
        ends += report.ends.size();
    EXPECT_LE(ends, 4 * 32U);
    EXPECT_EQ(watch.verdict(partsOf({ Crashing }), Start + 2s), Verdict::Blocked);
}

// Guards against a row of the store that is full, and is read again and again for what has no room
// in it.
TEST(PartCrashWatch, TheNumberOfBlockedPartsIsBounded)
{
    constexpr std::uint64_t Parts = 80;
    constexpr std::size_t MostBlocked = 64;
    PartCrashWatch watch;
    for (std::uint64_t i = 1; i <= Parts; ++i)
        crash(watch, partsOf({ i }), 3, Start, std::to_string(i) + "-");
    watch.update(Start + 200ms);
    watch.update(Start + 2s);
    EXPECT_EQ(watch.blockedParts(), MostBlocked);
    std::vector<StoredPart> row = watch.updated({}, "p1", Start + 2s);
    watch.rowRead(row, Start + 2s);
    EXPECT_FALSE(watch.mustStore());
    watch.update(Start + 10s);
    EXPECT_EQ(watch.blockedParts(), MostBlocked);
    EXPECT_FALSE(watch.mustStore());
}

TEST(PromptParts, LeaveOutTheLastPart)
{
    Prompt prompt;
    prompt.model = "m";
    EXPECT_TRUE(PromptParts::of("pool", prompt).ids.empty());
    prompt.parts = { { 1, 10 }, { 2, 10 }, { 3, 10 } };
    EXPECT_EQ(PromptParts::of("pool", prompt).ids, (std::vector<std::uint64_t> { 1, 2 }));
    const PromptParts parts = PromptParts::of("pool", prompt);
    EXPECT_EQ(parts.keys().at(1), (PartName { "pool", "m", 2 }.key()));
}

} // namespace
} // namespace snipestall::serving
