#pragma once

#include "snipestall/gateway/caller_link.hpp"
#include "snipestall/wire/task.hpp"

#include <boost/beast/http/message.hpp>

#include <string>

namespace snipestall::gateway {

/// The answer to one request, as far as its caller has it; the only place that ends one as
/// complete.
///
/// Failure: an answer may come from two runs. The second one fails, or answers with something else
/// than the rest of what was begun, and its end is passed on as the end of the first: the caller
/// takes a stream that lacks its last events, or a body of two halves, for a whole answer. What was
/// begun decides here what may follow, and an end of any other kind closes the connection instead.
class CallerAnswer
{
public:
    enum class State {
        /// Nothing has left; any answer can still be given.
        NotBegun,
        /// Events go out as they come; another run may go on after the last one.
        StreamingEvents,
        /// A plain body too large to be held back goes out; only its own run can end it.
        SpillingBody,
        /// The caller has all it will get.
        Ended,
    };

    explicit CallerAnswer(CallerLink &caller)
        : m_caller(caller)
    { }

    [[nodiscard]] State state() const { return m_state; }
    /// A part has left, and nothing but its rest can follow.
    [[nodiscard]] bool begun() const
    {
        return m_state == State::StreamingEvents || m_state == State::SpillingBody;
    }
    [[nodiscard]] bool ended() const { return m_state == State::Ended; }
    /// Whether a server's answer can be passed on: as a new one, or as the rest of a stream, which
    /// must have the status and the media type of what was begun.
    [[nodiscard]] bool canGoOnWith(const boost::beast::http::response_header<> &head) const;

    /// False, as from all that write, if the caller could not be reached.
    wire::Task<bool> writeWhole(CallerLink::Answer answer);
    wire::Task<bool> beginEvents(boost::beast::http::response_header<> head);
    wire::Task<bool> beginBody(boost::beast::http::response_header<> head);
    wire::Task<bool> writePiece(std::string piece);
    /// The run that streamed events has given its last one.
    wire::Task<bool> completeEvents() { return complete(State::StreamingEvents); }
    /// The run whose body was spilled has given all of it.
    wire::Task<bool> completeBody() { return complete(State::SpillingBody); }
    /// Ends the connection, so that what was begun does not look complete.
    void breakOff();

private:
    wire::Task<bool> begin(State kind, boost::beast::http::response_header<> head);
    wire::Task<bool> complete(State kind);

    CallerLink &m_caller;
    State m_state = State::NotBegun;
    /// Of the answer that was begun.
    unsigned m_status = 0;
    std::string m_mediaType;
};

} // namespace snipestall::gateway
