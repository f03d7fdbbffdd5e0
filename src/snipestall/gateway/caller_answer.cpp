#include "snipestall/gateway/caller_answer.hpp"

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/field.hpp>

#include <utility>

namespace snipestall::gateway {

namespace http = boost::beast::http;
using wire::Task;

namespace {

/// Returns the content type without its parameters.
std::string mediaTypeOf(const http::fields &fields)
{
    const auto field = fields[http::field::content_type];
    std::string type(field.data(), field.size());
    type = type.substr(0, type.find(';'));
    while (!type.empty() && type.back() == ' ')
        type.pop_back();
    return type;
}

} // namespace

bool CallerAnswer::canContinueWith(const http::response_header<> &head) const
{
    if (m_state == State::NotBegun)
        return true;
    return m_state == State::StreamingEvents && head.result_int() == m_status
        && boost::beast::iequals(mediaTypeOf(head), m_mediaType);
}

void CallerAnswer::resume(std::uint64_t lastEvent, std::optional<serving::StreamOrigin> origin)
{
    m_lastEvent = lastEvent;
    m_origin = std::move(origin);
}

std::string CallerAnswer::takeNew(std::vector<wire::RawEvent> events,
                                  const std::optional<serving::StreamOrigin> &origin)
{
    std::string text;
    for (wire::RawEvent &event : events) {
        // A resumed run may repeat the event after which it was resumed.
        if (event.id && m_lastEvent && *event.id <= *m_lastEvent)
            continue;
        if (event.id)
            m_lastEvent = event.id;
        text += event.text;
    }
    if (!text.empty() && !std::exchange(m_hasEvents, true) && !m_origin)
        m_origin = origin;
    return text;
}

Task<bool> CallerAnswer::writeWhole(CallerConnection::Answer answer)
{
    if (m_state != State::NotBegun) {
        abort();
        co_return false;
    }
    m_state = State::Ended;
    co_return co_await m_caller.write(std::move(answer));
}

Task<bool> CallerAnswer::beginEvents(http::response_header<> head)
{
    return begin(State::StreamingEvents, std::move(head));
}

Task<bool> CallerAnswer::beginBody(http::response_header<> head)
{
    return begin(State::ForwardingBody, std::move(head));
}

Task<bool> CallerAnswer::begin(State kind, http::response_header<> head)
{
    if (m_state != State::NotBegun) {
        abort();
        co_return false;
    }
    m_state = kind;
    m_status = head.result_int();
    m_mediaType = mediaTypeOf(head);
    co_return co_await m_caller.beginStream(std::move(head));
}

Task<bool> CallerAnswer::writePiece(std::string piece)
{
    if (!begun()) {
        abort();
        co_return false;
    }
    co_return co_await m_caller.writePiece(std::move(piece));
}

Task<bool> CallerAnswer::complete(State kind)
{
    if (m_state != kind) {
        abort();
        co_return false;
    }
    m_state = State::Ended;
    co_return co_await m_caller.endStream();
}

void CallerAnswer::abort()
{
    m_state = State::Ended;
    m_caller.close();
}

} // namespace snipestall::gateway
