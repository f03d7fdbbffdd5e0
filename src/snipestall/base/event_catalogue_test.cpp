#include "snipestall/base/event_catalogue.hpp"

#include <gtest/gtest.h>

#include <set>

namespace snipestall {
namespace {

TEST(EventCatalogueTest, NumbersAndNamesAreUniqueAndTextsAreNotEmpty)
{
    std::set<int> numbers;
    std::set<std::string_view> names;
    for (const EventInfo *event : events::all()) {
        EXPECT_TRUE(numbers.insert(event->number).second) << event->number;
        EXPECT_TRUE(names.insert(event->name).second) << event->name;
        EXPECT_FALSE(event->meaning.empty()) << event->number;
        EXPECT_FALSE(event->action.empty()) << event->number;
    }
}

} // namespace
} // namespace snipestall
