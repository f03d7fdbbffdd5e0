#include "snipestall/wire/message_parser.hpp"

#include "mutate_message.hpp"
#include "snipestall/base/random.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/error.hpp>
#include <gtest/gtest.h>

#include <algorithm>
#include <string>
#include <string_view>

namespace snipestall::wire {
namespace {

namespace http = boost::beast::http;

constexpr std::uint32_t HeadLimit = 16 * 1024;
constexpr std::size_t BodyLimit = 64 * 1024;
constexpr auto RequestHead = "POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";

struct Parsed
{
    boost::system::error_code error;
    std::string body;
    /// Bytes that the parser needed before the fault or the end.
    std::size_t read = 0;
    std::size_t mostHeld = 0;
    bool done = false;
};

/// Feeds the text in pieces of this size until the parser says that it has enough.
template<bool IsRequest>
Parsed parse(MessageParser<IsRequest> &parser, std::string_view text, std::size_t pieceBytes)
{
    parser.header_limit(HeadLimit);
    parser.body_limit(BodyLimit);
    boost::beast::flat_buffer buffer;
    Parsed result;
    while (!parser.is_done() && !result.error) {
        result.error = parser.feed(buffer);
        result.body += parser.takeBody();
        if (result.error != http::error::need_more)
            continue;
        if (result.read == text.size())
            break;
        const std::size_t size = std::min(pieceBytes, text.size() - result.read);
        boost::asio::buffer_copy(buffer.prepare(size),
                                 boost::asio::buffer(text.data() + result.read, size));
        buffer.commit(size);
        result.read += size;
        result.mostHeld = std::max(result.mostHeld, buffer.size());
        result.error = {};
    }
    result.done = parser.is_done();
    return result;
}

Parsed parseRequest(std::string_view text, std::size_t pieceBytes = 1000)
{
    MessageParser<true> parser;
    return parse(parser, text, pieceBytes);
}

TEST(MessageParserTest, ReadsABodyInChunksOfOneByte)
{
    std::string text = RequestHead;
    std::string body;
    for (int i = 0; i < 20000; ++i) {
        body += static_cast<char>('a' + i % 26);
        text += std::string("1\r\n") + body.back() + "\r\n";
    }
    text += "0\r\n\r\n";
    for (const std::size_t pieceBytes : { 1U, 7U, 4096U }) {
        const Parsed parsed = parseRequest(text, pieceBytes);
        EXPECT_FALSE(parsed.error) << parsed.error.message();
        EXPECT_TRUE(parsed.done);
        EXPECT_EQ(parsed.body, body);
    }
}

TEST(MessageParserTest, DropsTrailerFields)
{
    MessageParser<true> parser;
    const std::string text =
        std::string(RequestHead) + "2;a=b\r\nok\r\n0;c\r\nHost: b\r\nX-A: 1\r\n\r\n";
    const Parsed parsed = parse(parser, text, 3);
    EXPECT_TRUE(parsed.done);
    EXPECT_EQ(parsed.body, "ok");
    EXPECT_EQ(parser.head().count(http::field::host), 1U);
    EXPECT_EQ(parser.head()[http::field::host], "a");
    EXPECT_EQ(parser.head().count("X-A"), 0U);
}

// Guards against framing without end that is held until the memory is full: extensions, sizes with
// leading zeros, trailer fields and trailer sections.
TEST(MessageParserTest, FramingWithoutEndIsAFault)
{
    const std::string trailers = std::string(RequestHead) + "2\r\nok\r\n0\r\n";
    const std::string filler(1000000, 'z');
    std::string manyFields;
    for (int i = 0; i < 50000; ++i)
        manyFields += "X-A: 1\r\n";
    for (const std::string &text : {
             RequestHead + std::string("5;a=") + filler,
             RequestHead + std::string("5;a=\"") + filler,
             RequestHead + std::string(1000000, '0'),
             trailers + filler,
             trailers + "X-A: " + filler,
             trailers + manyFields,
         }) {
        for (const std::size_t pieceBytes : { 100U, 4096U, 70000U }) {
            const Parsed parsed = parseRequest(text, pieceBytes);
            EXPECT_TRUE(parsed.error);
            EXPECT_NE(parsed.error, http::error::need_more);
            EXPECT_LE(parsed.read, 100000U) << text.substr(0, 100);
            EXPECT_LE(parsed.mostHeld, 100000U);
        }
    }
}

// Guards against chunks without end that hold next to nothing of a body.
TEST(MessageParserTest, ManyBytesOfFramingForFewOfABodyAreAFault)
{
    std::string text = RequestHead;
    for (int i = 0; i < 10000; ++i)
        text += "1;a=" + std::string(100, 'z') + "\r\nx\r\n";
    const Parsed parsed = parseRequest(text);
    EXPECT_EQ(parsed.error, http::error::header_limit);
    EXPECT_LE(parsed.read, 50000U);
}

// Guards against an exception that ends the process: a field longer than 64 KB, in the head where
// that is allowed, and in the trailer section.
TEST(MessageParserTest, AFieldOver64KilobytesIsAFault)
{
    const std::string field = "X-A: " + std::string(70000, 'z') + "\r\n";
    MessageParser<true> parser;
    parser.header_limit(200000);
    boost::beast::flat_buffer buffer;
    const std::string text = "GET / HTTP/1.1\r\nHost: a\r\n" + field + "\r\n";
    boost::asio::buffer_copy(buffer.prepare(text.size()), boost::asio::buffer(text));
    buffer.commit(text.size());
    EXPECT_EQ(parser.feed(buffer), http::error::header_limit);

    const Parsed trailer =
        parseRequest(RequestHead + std::string("2\r\nok\r\n0\r\n") + field + "\r\n", 100000);
    EXPECT_EQ(trailer.error, http::error::header_limit);
}

// Guards against a head whose handling takes the time of its number of fields squared.
TEST(MessageParserTest, AHeadOfThousandsOfFieldsIsAFault)
{
    std::string text = "GET / HTTP/1.1\r\nHost: a\r\n";
    for (int i = 0; i < 2000; ++i)
        text += "a:\r\n";
    EXPECT_EQ(parseRequest(text + "\r\n").error, http::error::header_limit);
}

// Guards against a turn of the loop for each chunk of one byte.
TEST(MessageParserTest, AllChunksOfABufferAreParsedAtOnce)
{
    std::string text = RequestHead;
    for (int i = 0; i < 500; ++i)
        text += "1\r\na\r\n";
    MessageParser<true> parser;
    boost::beast::flat_buffer buffer;
    boost::asio::buffer_copy(buffer.prepare(text.size()), boost::asio::buffer(text));
    buffer.commit(text.size());
    EXPECT_FALSE(parser.feed(buffer));
    EXPECT_TRUE(parser.is_header_done());
    EXPECT_FALSE(parser.feed(buffer));
    EXPECT_EQ(parser.takeBody(), std::string(500, 'a'));
    EXPECT_LT(buffer.size(), sizeof("1\r\na\r\n"));
}

Parsed parseResponse(std::string_view text, std::size_t pieceBytes)
{
    MessageParser<false> parser;
    return parse(parser, text, pieceBytes);
}

bool isFault(const Parsed &parsed)
{
    return parsed.error && parsed.error != http::error::need_more;
}

// Guards against a status that is no number of three digits from 100 on: below 100 it passes for an
// interim response, and the head behind it for the answer.
TEST(MessageParserTest, AResponseWithoutAProperStatusIsAFault)
{
    for (const char *status : { "000", "099", "00", "0", "2000", "20x", "-20", "+20", "" }) {
        for (const std::size_t pieceBytes : { 1U, 1000U }) {
            const std::string text = std::string("HTTP/1.1 ") + status
                + " OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n\r\n";
            EXPECT_TRUE(isFault(parseResponse(text, pieceBytes))) << status;
        }
    }
    EXPECT_TRUE(parseResponse("HTTP/1.1 100 Continue\r\n\r\n", 1000).done);
}

// Guards against a line that begins with a blank and so changes the value of the field before it,
// as a server in trouble writes it: the seal of an answer, or its length.
TEST(MessageParserTest, AFoldedLineInAResponseIsAFault)
{
    for (const char *line : { " X-Odd: 1", "\tX-Odd: 1", " ", "  1" }) {
        for (const char *field : { "X-Seal: a", "Content-Length: 2", "Date: b" }) {
            const std::string lines = std::string(field) + "\r\n" + line + "\r\n";
            for (const std::size_t pieceBytes : { 1U, 1000U }) {
                const Parsed first =
                    parseResponse("HTTP/1.1 200 OK\r\n" + lines + "\r\n", pieceBytes);
                EXPECT_TRUE(isFault(first)) << lines;
                const Parsed last = parseResponse("HTTP/1.1 200 OK\r\nX-Attempt-Id: 1\r\n" + lines
                                                      + "X-A: 1\r\n\r\n",
                                                  pieceBytes);
                EXPECT_TRUE(isFault(last)) << lines;
            }
        }
    }
    const Parsed body =
        parseResponse("HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\n\n a\n\tb", 1000);
    EXPECT_FALSE(body.error) << body.error.message();
    EXPECT_EQ(body.body, "\n a\n\tb");
}

// Guards against a field whose name holds a blank or a control byte and that is passed on, or that
// hides where the answer ends.
TEST(MessageParserTest, AFieldNameWithABlankOrAControlByteIsAFault)
{
    using namespace std::string_literals;
    for (const char *name : { "X-Odd", "Content-Length", "Transfer-Encoding", "X-Seal" }) {
        for (const std::string &odd : { " "s, "\t"s, "\x01"s, "\0"s, "\x7f"s, "\xe9"s, "\r"s }) {
            for (const std::string &line :
                 { name + odd + ": 1", odd + name + ": 1", "X" + odd + name + ": 1" }) {
                const Parsed parsed = parseResponse(
                    "HTTP/1.1 200 OK\r\nX-A: 1\r\n" + line + "\r\nX-B: 2\r\n\r\n", 1000);
                EXPECT_TRUE(isFault(parsed)) << line;
            }
        }
    }
}

TEST(MessageParserTest, ABodyBeforeAFaultIsKept)
{
    MessageParser<false> parser;
    const Parsed parsed =
        parse(parser,
              "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\nno chunk\r\n", 1000);
    EXPECT_EQ(parsed.body, "ok");
    EXPECT_TRUE(parsed.error);
    EXPECT_FALSE(parsed.done);
}

TEST(MessageParserTest, AnAnswerWithoutLengthEndsWithItsConnection)
{
    MessageParser<false> parser;
    const Parsed parsed = parse(parser, "HTTP/1.1 200 OK\r\n\r\nbody", 1000);
    EXPECT_EQ(parsed.body, "body");
    EXPECT_FALSE(parsed.done);
    boost::system::error_code error;
    parser.put_eof(error);
    EXPECT_FALSE(error);
    EXPECT_TRUE(parser.is_done());
}

// Guards against any message of a caller or a server that throws, is held in memory beyond the
// limits, or is read without an end.
TEST(MessageParserTest, MutatedMessagesStayWithinTheLimits)
{
    static constexpr std::size_t MostHeld = HeadLimit + FramingBudget::MaxUnitBytes + 8192;
    const std::string request = std::string(RequestHead)
        + "5;a=b;c=\"d\\\"e\"\r\nhello\r\n0A;x\r\n0123456789\r\n0;z\r\nX-A: 1\r\nX-B: 2\r\n\r\n";
    const std::string response =
        "HTTP/1.1 200 OK\r\nX-Attempt-Id: 1\r\nConnection: keep-alive, X-A\r\n"
        "Transfer-Encoding: chunked\r\n\r\n5;a=b\r\nhello\r\n0\r\nX-A: 1\r\n\r\n";
    Random random(960);
    for (int i = 0; i < 20000; ++i) {
        const std::size_t pieceBytes = 1 + random.below(4096);
        const bool isRequest = random.below(2) == 0;
        const std::string text = mutateMessage(isRequest ? request : response, random);
        MessageParser<true> requests;
        MessageParser<false> responses;
        const Parsed parsed =
            isRequest ? parse(requests, text, pieceBytes) : parse(responses, text, pieceBytes);
        ASSERT_LE(parsed.mostHeld, MostHeld) << text.substr(0, 500);
        ASSERT_LE(parsed.body.size(), BodyLimit + 4096);
    }
}

} // namespace
} // namespace snipestall::wire
