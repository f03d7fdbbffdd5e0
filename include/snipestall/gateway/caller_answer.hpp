#pragma once

#include "snipestall/gateway/caller_connection.hpp"
#include "snipestall/serving/stream_origin.hpp"
#include "snipestall/wire/event_splitter.hpp"
#include "snipestall/wire/task.hpp"

#include <boost/beast/http/message.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace snipestall::gateway {

/// The part of the answer to one request that its caller has received so far. Only this class marks
/// an answer as complete.
///
/// Failure it guards against: an answer may be composed from two runs. The second run fails, or its
/// answer is not the rest of what was begun, and its end is passed on as the end of the first: the
/// caller takes a stream that lacks its last events, or a body made of two halves, for a whole
/// answer. So the kind of answer that was begun determines what may follow. Any other end closes
/// the connection instead. The same holds for the service and the software version that wrote the
/// first event of a stream, also one that another attempt of the caller has begun.
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

    /// The caller takes up a stream of which it has the events up to `lastEvent`. `origin` is not
    /// set if the stream can't be continued elsewhere anyway.
    void resume(std::uint64_t lastEvent, std::optional<serving::StreamOrigin> origin);
    /// Id of the last event that the caller has received.
    [[nodiscard]] std::optional<std::uint64_t> lastEvent() const { return m_lastEvent; }
    /// Who wrote the first event, and has to write the rest; not set before that event, or if it is
    /// not known.
    [[nodiscard]] const std::optional<serving::StreamOrigin> &origin() const { return m_origin; }
    /// Returns whether a server other than the one that is sending may send the rest.
    [[nodiscard]] bool mayChangeServer() const { return !m_hasEvents || m_origin.has_value(); }
    /// Returns the bytes of those events that the caller lacks, which are to be written next.
    /// `origin`: who wrote them, if that is known.
    std::string takeNew(std::vector<wire::RawEvent> events,
                        const std::optional<serving::StreamOrigin> &origin);

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
    std::optional<std::uint64_t> m_lastEvent;
    bool m_hasEvents = false;
    std::optional<serving::StreamOrigin> m_origin;
};

} // namespace snipestall::gateway
