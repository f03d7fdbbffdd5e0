#include "snipestall/wire/event_splitter.hpp"

#include <gtest/gtest.h>

namespace snipestall::wire {
namespace {

TEST(EventSplitter, KeepsTheBytesOfEachEventHoweverTheBodyIsSplit)
{
    const std::string body = "id: 1\ndata: a\n\nversion:3\r\nid:2\r\ndata: b\r\n\r\n";
    for (std::size_t cut = 0; cut <= body.size(); ++cut) {
        EventSplitter splitter;
        std::vector<RawEvent> events = splitter.feed(body.substr(0, cut));
        for (RawEvent &event : splitter.feed(body.substr(cut)))
            events.push_back(std::move(event));
        ASSERT_EQ(events.size(), 2U) << cut;
        EXPECT_EQ(events[0].text + events[1].text, body);
        EXPECT_EQ(events[0].id, 1U);
        EXPECT_EQ(events[1].id, 2U);
        EXPECT_TRUE(splitter.incompleteEvent().empty());
    }
}

// Guards against a caller that receives half an event followed by the complete one: a backend
// server crashes while it sends an event, the half that arrived is forwarded, and another server
// resumes the stream with the same event.
TEST(EventSplitter, HoldsBackAnIncompleteEvent)
{
    EventSplitter splitter;
    const auto events = splitter.feed("id: 7\ndata: whole\n\nid: 8\ndata: ha");
    ASSERT_EQ(events.size(), 1U);
    EXPECT_EQ(events[0].id, 7U);
    EXPECT_EQ(splitter.incompleteEvent(), "id: 8\ndata: ha");
}

TEST(EventSplitter, IgnoresAnIdThatIsNotANumber)
{
    EventSplitter splitter;
    const auto events = splitter.feed("id: x1\ndata: a\n\n");
    ASSERT_EQ(events.size(), 1U);
    EXPECT_FALSE(events[0].id);
}

} // namespace
} // namespace snipestall::wire
