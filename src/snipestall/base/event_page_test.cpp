#include "snipestall/base/event_page.hpp"

#include "snipestall/base/event_catalogue.hpp"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <fstream>
#include <iterator>

namespace snipestall::events {
namespace {

TEST(EventPageTest, TheCommittedPageIsUpToDate)
{
    std::ifstream file(SNIPESTALL_SOURCE_DIR "/docs/events.md");
    const std::string page { std::istreambuf_iterator<char>(file), {} };
    EXPECT_EQ(page, referencePage())
        << "run: build/bin/snipestallctl reference events > docs/events.md";
}

TEST(EventPageTest, EveryEventIsInASection)
{
    const std::string page = referencePage();
    for (const EventInfo *event : all())
        EXPECT_THAT(page, testing::HasSubstr("`" + std::string(event->name) + "`"));
}

} // namespace
} // namespace snipestall::events
