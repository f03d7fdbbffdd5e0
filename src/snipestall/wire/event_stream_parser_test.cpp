#include "snipestall/wire/event_stream_parser.hpp"

#include <gtest/gtest.h>

namespace snipestall::wire {
namespace {

// The network may split the body at any byte. A parser that treated a chunk as an event would lose
// or split a token there.
TEST(EventStreamParserTest, GivesTheSameEventsWhereverTheBodyIsSplit)
{
    const std::string body =
        "id: 1\ndata: {\"a\":1}\n\n: comment\nevent: end\r\ndata: x\ndata: y\n\n";
    for (std::size_t cut = 0; cut <= body.size(); ++cut) {
        EventStreamParser parser;
        auto events = parser.feed(std::string_view(body).substr(0, cut));
        for (auto &event : parser.feed(std::string_view(body).substr(cut)))
            events.push_back(std::move(event));
        ASSERT_EQ(events.size(), 2U) << cut;
        EXPECT_EQ(events[0].id, "1");
        EXPECT_EQ(events[0].data, "{\"a\":1}");
        EXPECT_EQ(events[1].event, "end");
        EXPECT_EQ(events[1].data, "x\ny");
    }
}

} // namespace
} // namespace snipestall::wire
