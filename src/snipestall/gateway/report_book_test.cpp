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

} // namespace
} // namespace snipestall::gateway
