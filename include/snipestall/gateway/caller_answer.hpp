#pragma once

#include "snipestall/gateway/caller_connection.hpp"
#include "snipestall/wire/task.hpp"

#include <boost/beast/http/message.hpp>

#include <string>

namespace snipestall::gateway {

/// The part of the answer to one request that its caller has received so far. Only this class marks
/// an answer as complete.
///
/// Failure it guards against: an answer may be composed from two runs. The second run fails, or its
/// answer is not the rest of what was begun, and its end is passed on as the end of the first: the
/// caller takes a stream that lacks its last events, or a body made of two halves, for a whole
/// answer. So the kind of answer that was begun determines what may follow. Any other end closes
/// the connection instead.
class CallerAnswer
{
public:
    enum class State {
        /// No byte has been sent; any answer can still be given.
        NotBegun,
        /// Events are passed on as they arrive. After the last one, another run may continue the
        /// stream.
        StreamingEvents,
        /// A plain body that is too large to be buffered is passed on as it arrives. Only the run
        /// that produces it can complete it.
        ForwardingBody,
        /// Nothing more will be sent to the caller.
        Ended,
    };

    explicit CallerAnswer(CallerConnection &caller)
        : m_caller(caller)
    { }

    [[nodiscard]] State state() const { return m_state; }
    /// Returns true if a part of the answer has been sent, so that only the rest of that answer can
    /// follow.
    [[nodiscard]] bool begun() const
    {
        return m_state == State::StreamingEvents || m_state == State::ForwardingBody;
    }
    [[nodiscard]] bool ended() const { return m_state == State::Ended; }
    /// Returns whether an answer of a server can be passed on: as a new answer, or as the rest of a
    /// stream. The rest must have the status and the media type of the part that was sent.
    [[nodiscard]] bool canContinueWith(const boost::beast::http::response_header<> &head) const;

    /// Writes the whole answer. Like all functions that write, it returns false if the caller could
    /// not be reached.
    wire::Task<bool> writeWhole(CallerConnection::Answer answer);
    wire::Task<bool> beginEvents(boost::beast::http::response_header<> head);
    wire::Task<bool> beginBody(boost::beast::http::response_header<> head);
    wire::Task<bool> writePiece(std::string piece);
    /// Completes the answer after the last event of a stream.
    wire::Task<bool> completeEvents() { return complete(State::StreamingEvents); }
    /// Completes the answer after the last piece of a body that is passed on as it arrives.
    wire::Task<bool> completeBody() { return complete(State::ForwardingBody); }
    /// Closes the connection, so that the part that was sent does not look complete.
    void abort();

private:
    wire::Task<bool> begin(State kind, boost::beast::http::response_header<> head);
    wire::Task<bool> complete(State kind);

    CallerConnection &m_caller;
    State m_state = State::NotBegun;
    /// Status of the answer that was begun.
    unsigned m_status = 0;
    std::string m_mediaType;
};

} // namespace snipestall::gateway
