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

TEST(ReportBook, AHubTellsAnotherHubOfItsMembersButNotOfOtherHubs)
{
    ReportBook book;
    book.take(report("member", 3, 0, true), Start);
    book.take(report("hub-b", 50, 0), Start);
    const auto sum = book.reportFor("hub-c", report("hub-a", 1, 0), false, Start);
    EXPECT_EQ(inFlight(sum), 4U);
    EXPECT_EQ(sum.instances(), 2U);
}

TEST(ReportBook, AMemberIsToldOfEverybodyElse)
{
    ReportBook book;
    book.take(report("member", 3, 0, true), Start);
    book.take(report("other", 5, 0, true), Start);
    book.take(report("hub-b", 50, 0), Start);
    const auto sum = book.reportFor("member", report("hub-a", 1, 0), false, Start);
    EXPECT_EQ(inFlight(sum), 56U);
    EXPECT_EQ(sum.instances(), 3U);
}

// A customer is refused far below its quota: an instance that joins is taken to have used at this
// moment all that it had used since it started.
TEST(ReportBook, OnlyGrowthSinceASourceWasFirstHeardIsPassedOn)
{
    ReportBook book;
    book.take(report("member", 0, 1000, true), Start);
    EXPECT_EQ(units(book.reportFor("hub-b", report("hub-a", 0, 7), false, Start)), 7);
    book.take(report("member", 0, 1010, true), Start + 200ms);
    EXPECT_EQ(units(book.reportFor("hub-b", report("hub-a", 0, 7), false, Start)), 17);
}

TEST(ReportBook, SumsOnlyGrowWhenASourceStopsOrStartsAnew)
{
    ReportBook book;
    book.take(report("member", 3, 0, true), Start);
    book.take(report("member", 3, 100, true), Start + 1s);
    const SteadyTime later = Start + 20s;
    const auto after = book.reportFor("hub-b", report("hub-a", 0, 0), false, later);
    EXPECT_EQ(units(after), 100);
    EXPECT_EQ(inFlight(after), 0U);
    EXPECT_EQ(after.instances(), 1U);
    v1::LoadReport again = report("member", 1, 5, true);
    again.set_series(11);
    book.take(again, later);
    EXPECT_EQ(units(book.reportFor("hub-b", report("hub-a", 0, 0), false, later)), 100);
}

// Guards against a quota that is given out twice: the members of a hub were not told that others,
// which miss their reports, go on using it.
TEST(ReportBook, WhatASourceThatMissesItsReportsUsesIsToldBesideTheTotals)
{
    ReportBook book;
    book.take(report("member", 3, 0, true), Start);
    book.take(report("member", 3, 100, true), Start + 200ms);
    const auto own = report("hub-a", 0, 0);
    const auto inTime = book.reportFor("hub-b", own, false, Start + 400ms);
    EXPECT_EQ(inTime.customers(0).unheard_units(), 0);
    const auto late = book.reportFor("hub-b", own, false, Start + 1200ms);
    EXPECT_EQ(units(late), 100);
    EXPECT_DOUBLE_EQ(late.customers(0).unheard_units(), 200);
    book.take(report("member", 3, 150, true), Start + 1300ms);
    const auto again = book.reportFor("hub-b", own, false, Start + 1300ms);
    EXPECT_EQ(units(again), 150);
    EXPECT_EQ(again.customers(0).unheard_units(), 0);
}

TEST(ReportBook, MembersAndHubsAreToldDifferentSeries)
{
    ReportBook book;
    book.take(report("member", 3, 0, true), Start);
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

// Requests get half the repeats that they may have after an instance has changed its hub: two hubs,
// each of which speaks for all instances, are counted as twice as many.
TEST(ReportBook, OnlyTheLastHubOfAMemberCounts)
{
    ReportBook book;
    book.take(fromHub("hub-a"), Start);
    book.take(fromHub("hub-b"), Start + 1s);
    EXPECT_EQ(book.instances(Start + 1s), 100U);
}

// Servers look twice as full as they are to the members of an instance that has just become a hub:
// it passes on what its own hub told it of the fleet, beside what each hub says for itself.
TEST(ReportBook, WhatAHubSaidOfTheFleetIsNotPassedOn)
{
    ReportBook book;
    book.take(fromHub("hub-a"), Start);
    book.take(report("hub-b", 50, 0), Start);
    book.take(report("member", 3, 0, true), Start);
    const auto sum = book.reportFor("other", report("new-hub", 1, 0, true), false, Start);
    EXPECT_EQ(inFlight(sum), 4U);
    book.take(report("other", 0, 0, true), Start);
    EXPECT_EQ(inFlight(book.reportFor("other", report("new-hub", 1, 0), false, Start)), 54U);
}

// Customers are refused what they are owed after hubs were killed: an instance that has become a
// hub adds what its hub once told it of the whole fleet to what that hub says for itself later.
TEST(ReportBook, GrowthToldByAHubIsDroppedWhenThatHubSpeaksForItself)
{
    ReportBook book;
    v1::LoadReport told = fromHub("hub-a");
    book.take(told, Start);
    told.mutable_customers(0)->set_units(5000);
    book.take(told, Start + 200ms);
    v1::LoadReport itself = report("hub-a", 0, 0);
    itself.set_series(11);
    book.take(itself, Start + 400ms);
    book.take(report("member", 0, 0, true), Start + 400ms);
    const auto sum = book.reportFor("member", report("new-hub", 0, 7), false, Start + 400ms);
    EXPECT_EQ(units(sum), 7);
}

TEST(ReportBook, AMemberReportsItselfAlone)
{
    ReportBook book;
    book.take(report("hub-b", 50, 0), Start);
    const auto sum = book.reportFor("hub-b", report("a", 2, 0), true, Start);
    EXPECT_TRUE(sum.to_hub());
    EXPECT_EQ(inFlight(sum), 2U);
}

} // namespace
} // namespace snipestall::gateway
