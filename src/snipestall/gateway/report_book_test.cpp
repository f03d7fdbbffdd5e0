#include "snipestall/gateway/report_book.hpp"

#include <gtest/gtest.h>

namespace snipestall::gateway {
namespace {

using namespace std::chrono_literals;
namespace v1 = exchange::v1;

const SteadyTime Start { 100s };

v1::LoadReport report(const std::string &name, std::uint32_t inFlight, double units,
                      bool toHub = false)
{
    v1::LoadReport made;
    made.set_instance(name);
    made.set_series(10);
    made.set_instances(1);
    made.set_heard_instances(1);
    made.set_to_hub(toHub);
    v1::ServerWork *work = made.add_servers();
    work->set_server("i-1");
    work->set_in_flight(inFlight);
    v1::CustomerUse *use = made.add_customers();
    use->set_customer("harbour");
    use->set_units(units);
    return made;
}

std::uint32_t inFlight(const v1::LoadReport &report)
{
    return report.servers_size() == 0 ? 0 : report.servers(0).in_flight();
}

double units(const v1::LoadReport &report)
{
    return report.customers_size() == 0 ? 0 : report.customers(0).units();
}

TEST(ReportBook, AReportForAHubCoversMembersButNotOtherHubs)
{
    ReportBook book;
    book.addReport(report("member", 3, 0, true), Start);
    book.addReport(report("hub-b", 50, 0), Start);
    const auto sum = book.reportFor("hub-c", report("hub-a", 1, 0), false, Start);
    EXPECT_EQ(inFlight(sum), 4U);
    EXPECT_EQ(sum.instances(), 2U);
}

TEST(ReportBook, AReportForAMemberCoversAllOtherInstances)
{
    ReportBook book;
    book.addReport(report("member", 3, 0, true), Start);
    book.addReport(report("other", 5, 0, true), Start);
    book.addReport(report("hub-b", 50, 0), Start);
    const auto sum = book.reportFor("member", report("hub-a", 1, 0), false, Start);
    EXPECT_EQ(inFlight(sum), 56U);
    EXPECT_EQ(sum.instances(), 3U);
}

// Guards against refusals far below the quota of a customer: when an instance joins, everything
// that it has used since its start is counted as used at that moment.
TEST(ReportBook, PassesOnOnlyGrowthSinceTheFirstReport)
{
    ReportBook book;
    book.addReport(report("member", 0, 1000, true), Start);
    EXPECT_EQ(units(book.reportFor("hub-b", report("hub-a", 0, 7), false, Start)), 7);
    book.addReport(report("member", 0, 1010, true), Start + 200ms);
    EXPECT_EQ(units(book.reportFor("hub-b", report("hub-a", 0, 7), false, Start)), 17);
}

TEST(ReportBook, SumsNeverShrinkWhenASourceStopsOrRestarts)
{
    ReportBook book;
    book.addReport(report("member", 3, 0, true), Start);
    book.addReport(report("member", 3, 100, true), Start + 1s);
    const SteadyTime later = Start + 20s;
    const auto after = book.reportFor("hub-b", report("hub-a", 0, 0), false, later);
    EXPECT_EQ(units(after), 100);
    EXPECT_EQ(inFlight(after), 0U);
    EXPECT_EQ(after.instances(), 1U);
    v1::LoadReport again = report("member", 1, 5, true);
    again.set_series(11);
    book.addReport(again, later);
    EXPECT_EQ(units(book.reportFor("hub-b", report("hub-a", 0, 0), false, later)), 100);
}

// Guards against a quota that is granted twice: the members of a hub were not informed that sources
// which miss their reports continue to use it.
TEST(ReportBook, ReportsEstimatedUseOfLateSourcesSeparately)
{
    ReportBook book;
    book.addReport(report("member", 3, 0, true), Start);
    book.addReport(report("member", 3, 100, true), Start + 200ms);
    const auto own = report("hub-a", 0, 0);
    const auto inTime = book.reportFor("hub-b", own, false, Start + 400ms);
    EXPECT_EQ(inTime.customers(0).unheard_units(), 0);
    const auto late = book.reportFor("hub-b", own, false, Start + 1200ms);
    EXPECT_EQ(units(late), 100);
    EXPECT_DOUBLE_EQ(late.customers(0).unheard_units(), 200);
    book.addReport(report("member", 3, 150, true), Start + 1300ms);
    const auto again = book.reportFor("hub-b", own, false, Start + 1300ms);
    EXPECT_EQ(units(again), 150);
    EXPECT_EQ(again.customers(0).unheard_units(), 0);
}

TEST(ReportBook, MembersAndHubsGetDifferentSeries)
{
    ReportBook book;
    book.addReport(report("member", 3, 0, true), Start);
    const auto own = report("hub-a", 0, 0);
    EXPECT_NE(book.reportFor("member", own, false, Start).series(),
              book.reportFor("hub-b", own, false, Start).series());
}

v1::LoadReport fromHub(const std::string &name)
{
    v1::LoadReport made = report(name, 40, 0);
    made.set_instances(99);
    made.set_for_member(true);
    return made;
}

// Guards against requests that get only half of their allowed repeats after an instance has changed
// its hub: two hubs, each of which reports for all instances, are counted as twice as many.
TEST(ReportBook, OnlyTheLastHubOfAMemberCounts)
{
    ReportBook book;
    book.addReport(fromHub("hub-a"), Start);
    book.addReport(fromHub("hub-b"), Start + 1s);
    EXPECT_EQ(book.instances(Start + 1s), 100U);
}

// Guards against servers that look twice as loaded as they are to the members of a new hub: it
// passes on what its own hub reported of the fleet, in addition to what each hub reports for
// itself.
TEST(ReportBook, TheFleetReportOfAHubIsNotPassedOn)
{
    ReportBook book;
    book.addReport(fromHub("hub-a"), Start);
    book.addReport(report("hub-b", 50, 0), Start);
    book.addReport(report("member", 3, 0, true), Start);
    const auto sum = book.reportFor("other", report("new-hub", 1, 0, true), false, Start);
    EXPECT_EQ(inFlight(sum), 4U);
    book.addReport(report("other", 0, 0, true), Start);
    EXPECT_EQ(inFlight(book.reportFor("other", report("new-hub", 1, 0), false, Start)), 54U);
}

// Guards against refusals within the quota after hubs were killed: an instance that has become a
// hub adds the totals that its former hub reported for the whole fleet to the totals that this hub
// later reports for itself.
TEST(ReportBook, GrowthFromAFleetReportIsDroppedWhenTheHubReportsForItself)
{
    ReportBook book;
    v1::LoadReport told = fromHub("hub-a");
    book.addReport(told, Start);
    told.mutable_customers(0)->set_units(5000);
    book.addReport(told, Start + 200ms);
    v1::LoadReport itself = report("hub-a", 0, 0);
    itself.set_series(11);
    book.addReport(itself, Start + 400ms);
    book.addReport(report("member", 0, 0, true), Start + 400ms);
    const auto sum = book.reportFor("member", report("new-hub", 0, 7), false, Start + 400ms);
    EXPECT_EQ(units(sum), 7);
}

TEST(ReportBook, AMemberReportsOnlyItself)
{
    ReportBook book;
    book.addReport(report("hub-b", 50, 0), Start);
    const auto sum = book.reportFor("hub-b", report("a", 2, 0), true, Start);
    EXPECT_TRUE(sum.to_hub());
    EXPECT_EQ(inFlight(sum), 2U);
}

v1::LoadReport withOutcomes(const std::string &name, std::uint32_t failed, bool toHub)
{
    v1::LoadReport made = report(name, 1, 0, toHub);
    v1::ServerWork *work = made.mutable_servers(0);
    work->set_answered_c(100);
    work->set_failed_c(failed);
    work->set_pauses_c(100);
    work->set_pause_us(20000);
    for (std::uint32_t band = 0; band < 3; ++band) {
        work->add_waiting(band);
        work->add_band_tokens(1000 * band);
    }
    return made;
}

// Guards against outcomes that are counted twice after a member has become a hub, and against sums
// that wrap around when its counts are taken out again.
TEST(ReportBook, OutcomesOfAMemberThatBecomesAHubCountOnce)
{
    ReportBook book;
    book.addReport(withOutcomes("member", 300, true), Start);
    book.addReport(withOutcomes("other", 50, true), Start);
    book.addReport(withOutcomes("member", 200, false), Start + 200ms);
    const auto own = report("hub-a", 0, 0);
    const auto forHub = book.reportFor("hub-b", own, false, Start + 200ms);
    EXPECT_EQ(forHub.servers(0).failed_c(), 50U);
    const auto forMember = book.reportFor("other", own, false, Start + 200ms);
    EXPECT_EQ(forMember.servers(0).failed_c(), 200U);
    EXPECT_EQ(forMember.servers(0).pause_us(), 20000U);
    EXPECT_EQ(forMember.servers(0).waiting(2), 2U);
    EXPECT_EQ(forMember.servers(0).band_tokens(1), 1000U);
}

// Guards against servers that are avoided for good by the outcomes of members that have ended or
// report to another hub.
TEST(ReportBook, OutcomesOfMembersThatStopReportingExpire)
{
    ReportBook book;
    book.addReport(withOutcomes("member", 300, true), Start);
    book.addReport(withOutcomes("other", 50, true), Start + 2s);
    const auto own = report("hub-a", 0, 0);
    for (const auto now : { Start + 2600ms, Start + 3s }) {
        const auto sum = book.reportFor("hub-b", own, false, now);
        ASSERT_EQ(sum.servers_size(), 1);
        EXPECT_EQ(sum.servers(0).failed_c(), 50U);
        EXPECT_EQ(sum.servers(0).answered_c(), 100U);
        EXPECT_EQ(sum.servers(0).waiting(1), 1U);
        // Takes the expired counts out of the sums that are kept.
        book.addReport(withOutcomes("other", 50, true), now);
    }
    const auto later = book.reportFor("hub-b", report("hub-a", 0, 0), false, Start + 20s);
    EXPECT_EQ(later.servers_size(), 0);
}

// Guards against sums that lose the fields of newer instances, or get values that nobody sent,
// while instances are upgraded.
TEST(ReportBook, ReportsOfOtherVersionsAreSummedAsFarAsTheyGo)
{
    ReportBook book;
    book.addReport(report("earlier", 7, 0, true), Start);
    v1::LoadReport later = withOutcomes("later", 50, true);
    later.mutable_servers(0)->add_waiting(99);
    book.addReport(later, Start);
    const auto sum = book.reportFor("hub-b", report("hub-a", 0, 0), false, Start);
    EXPECT_EQ(inFlight(sum), 8U);
    EXPECT_EQ(sum.servers(0).failed_c(), 50U);
    ASSERT_EQ(sum.servers(0).waiting_size(), 3);
    EXPECT_EQ(sum.servers(0).waiting(2), 2U);
    book.addReport(report("later", 2, 0, true), Start + 200ms);
    const auto after = book.reportFor("hub-b", report("hub-a", 0, 0), false, Start + 200ms);
    EXPECT_EQ(inFlight(after), 9U);
    EXPECT_EQ(after.servers(0).failed_c(), 0U);
    // Nothing waits, so the fields are left out.
    EXPECT_EQ(after.servers(0).waiting_size(), 0);
    EXPECT_EQ(after.servers(0).band_tokens_size(), 0);
}

} // namespace
} // namespace snipestall::gateway
