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
    made.set_incarnation(10);
    made.set_instances(1);
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
    again.set_incarnation(11);
    book.take(again, later);
    EXPECT_EQ(units(book.reportFor("hub-b", report("hub-a", 0, 0), false, later)), 100);
}

TEST(ReportBook, MembersAndHubsAreToldDifferentSeries)
{
    ReportBook book;
    book.take(report("member", 3, 0, true), Start);
    const auto own = report("hub-a", 0, 0);
    EXPECT_NE(book.reportFor("member", own, false, Start).incarnation(),
              book.reportFor("hub-b", own, false, Start).incarnation());
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
