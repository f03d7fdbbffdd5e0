// The part of RequestRelay that passes the answer of a backend server on to the caller.

#include "snipestall/gateway/request_relay.hpp"

#include "forward_header.hpp"
#include "platform/server_header.hpp"
#include "snipestall/gateway/gateway_state.hpp"
#include "snipestall/serving/stream_pace.hpp"
#include "snipestall/wire/answer_body.hpp"

#include <boost/beast/http/field.hpp>

#include <algorithm>
#include <utility>

namespace snipestall::gateway {

namespace http = boost::beast::http;
using wire::Task;

namespace {

/// Size in bytes up to which bodies of plain answers are buffered, so that an answer that is cut
/// off can still be repeated or replaced by a proper error.
constexpr std::size_t MaxBufferedBytes = 512 * 1024;
/// Size in bytes of the longest event that is passed on. Bytes of a faulty server that never end an
/// event would fill the memory.
constexpr std::size_t MaxEventBytes = 256 * 1024;
constexpr unsigned FirstNonSuccessStatus = 300;
constexpr unsigned FirstServerErrorStatus = 500;

} // namespace

Task<RequestRelay::AttemptEnd> RequestRelay::dropAnswer(serving::ServerState &server)
{
    if (m_call->head().result_int() >= FirstServerErrorStatus)
        serving::ServerTable::failed(server, m_state.clock.steadyNow());
    std::size_t dropped = 0;
    BodyRead piece;
    do {
        piece = co_await m_call->readBody(m_deadline);
        dropped += piece.bytes.size();
    } while (piece.kind == BodyRead::Kind::Bytes && dropped <= MaxBufferedBytes);
    // The connection can be reused only if the whole answer has been read.
    if (piece.kind != BodyRead::Kind::End)
        m_call->abort();
    co_return piece.kind == BodyRead::Kind::TimedOut ? AttemptEnd::TimedOut : AttemptEnd::Failed;
}

Task<RequestRelay::AttemptEnd> RequestRelay::withholdPromise(serving::ServerState &server)
{
    handleFirstByte();
    if (!m_failure)
        m_failure = ownAnswer(502);
    co_return co_await dropAnswer(server);
}

Task<void> RequestRelay::readRejection()
{
    const BodyRead rest = co_await m_call->readBody(m_deadline);
    if (rest.kind == BodyRead::Kind::Bytes)
        co_await m_call->readBody(m_deadline);
}

RequestRelay::AttemptEnd RequestRelay::handleIncompleteAnswer(const BodyRead &piece,
                                                              const serving::ServerStatePtr &server)
{
    if (piece.kind != BodyRead::Kind::TimedOut) {
        handleConnectionLoss(server);
        return AttemptEnd::Failed;
    }
    // Ended by the deadline of the request, which says nothing of the server.
    return AttemptEnd::TimedOut;
}

void RequestRelay::handleWholeAnswer(serving::ServerState &server)
{
    if (!m_atInstance)
        m_state.servers.answered(server, m_state.clock.steadyNow());
    m_state.crashes.requestAnswered(m_fingerprint, m_state.clock.steadyNow());
    // A server may have turned down a part without reading it.
    if (m_call->head().result_int() < FirstNonSuccessStatus)
        m_state.crashes.parts().answered(promptParts(), m_state.clock.steadyNow());
}

Task<RequestRelay::AttemptEnd> RequestRelay::relayWhole(const serving::ServerStatePtr &server)
{
    handleFirstByte();
    const unsigned status = m_call->head().result_int();
    CallerConnection::Answer whole;
    whole.result(status);
    whole.version(m_caller->request().version());
    whole.reason(m_call->head().reason());
    platform::copyResponseHeader(m_call->head(), whole);
    eraseForwardFields(whole);
    whole.body().reserve(std::min(m_call->announcedBytes(), MaxBufferedBytes));
    while (true) {
        BodyRead piece = co_await m_call->readBody(m_deadline);
        if (piece.kind == BodyRead::Kind::Bytes) {
            whole.body() += piece.bytes;
            // Without memory for it, an answer is passed on as it arrives.
            if (whole.body().size() <= MaxBufferedBytes
                && m_caller->holdAnswer(whole.body().size()))
                continue;
            if (!m_answer.begun() && !co_await m_answer.beginBody(answerHead()))
                co_return AttemptEnd::Final;
            std::string held = std::exchange(whole.body(), {});
            if (!co_await m_answer.writePiece(std::move(held)))
                co_return AttemptEnd::Final;
            m_caller->holdAnswer(0);
            continue;
        }
        if (piece.kind == BodyRead::Kind::End)
            break;
        co_return handleIncompleteAnswer(piece, server);
    }
    const SteadyTime now = m_state.clock.steadyNow();
    if (status >= FirstServerErrorStatus)
        serving::ServerTable::failed(*server, now);
    else
        handleWholeAnswer(*server);
    if (status < FirstServerErrorStatus && !m_placementRequest.prompt)
        server->outcomes.recordPace(
            std::chrono::duration<double>(now - m_sentAt) / m_timesOwnDuration, now);
    if (m_answer.begun()) {
        m_keepAlive = co_await m_answer.writePiece(std::move(whole.body()))
            && co_await m_answer.completeBody() && m_keepAlive;
        ++m_state.counters.answered;
        logEnd(status, "answered");
        co_return AttemptEnd::Final;
    }
    prepareWhole(whole);
    if (status >= FirstServerErrorStatus) {
        m_failure = std::move(whole);
        co_return AttemptEnd::Failed;
    }
    ++m_state.counters.answered;
    co_await answer(std::move(whole), "answered");
    co_return AttemptEnd::Final;
}

void RequestRelay::prepareWhole(CallerConnection::Answer &whole) const
{
    if (wire::hasBody(m_caller->request().method(), whole.result_int())) {
        whole.prepare_payload();
        return;
    }
    // The length of a body that isn't sent is known to the server alone.
    const auto length = m_call->head().find(http::field::content_length);
    if (length != m_call->head().end())
        whole.set(http::field::content_length, length->value());
}

http::response_header<> RequestRelay::answerHead()
{
    http::response_header<> head;
    head.version(11);
    head.result(m_call->head().result_int());
    head.reason(m_call->head().reason());
    platform::copyResponseHeader(m_call->head(), head);
    eraseForwardFields(head);
    if (wasForwarded())
        setForwardedOrigin(m_answer.origin(), head);
    if (closesAfterAnswer())
        m_keepAlive = false;
    if (!m_keepAlive) {
        head.set(http::field::connection, "close");
    }
    return head;
}

Task<bool> RequestRelay::forwardEvents(std::vector<wire::RawEvent> events,
                                       const std::optional<serving::StreamOrigin> &origin)
{
    std::string piece = m_answer.takeNew(std::move(events), origin);
    if (piece.empty())
        co_return true;
    handleFirstByte();
    recordOrigin();
    if (!m_answer.begun() && !co_await m_answer.beginEvents(answerHead()))
        co_return false;
    co_return co_await m_answer.writePiece(std::move(piece));
}

Task<RequestRelay::AttemptEnd>
RequestRelay::relayStream(const serving::ServerStatePtr &server,
                          std::optional<serving::StreamOrigin> origin)
{
    wire::EventSplitter splitter;
    serving::StreamPace pace;
    while (true) {
        const BodyRead piece = co_await m_call->readBody(m_deadline);
        if (piece.kind == BodyRead::Kind::Bytes) {
            serving::ServerTable::heard(*server, m_state.clock.steadyNow());
            pace.event(server->lastByteAt);
            if (co_await forwardEvents(splitter.feed(piece.bytes), origin)) {
                if (splitter.incompleteEvent().size() <= MaxEventBytes)
                    continue;
                m_call->abort();
                co_return handleIncompleteAnswer({ BodyRead::Kind::Broken, {} }, server);
            }
            m_call->abort();
            m_keepAlive = false;
            m_answer.abort();
            co_return AttemptEnd::Final;
        }
        const bool whole = piece.kind == BodyRead::Kind::End && splitter.incompleteEvent().empty();
        co_await awaitMove();
        // Without a length, the end of a run that was stopped looks like the end of a whole answer.
        const bool certain = whole && m_call->isFramed();
        if (m_move != nullptr && m_move->mayHaveStopped() && !certain)
            co_return endOfStoppedRun(server);
        if (whole)
            break;
        co_return handleIncompleteAnswer(piece, server);
    }
    handleWholeAnswer(*server);
    if (const auto pause = pace.median()) {
        server->outcomes.recordPace(*pause, m_state.clock.steadyNow());
        m_versions.streamEnded(*pause);
    }
    if (!m_answer.begun() && !co_await m_answer.beginEvents(answerHead()))
        co_return AttemptEnd::Final;
    m_keepAlive = co_await m_answer.completeEvents() && m_keepAlive;
    ++m_state.counters.answered;
    logEnd(200, "answered");
    co_return AttemptEnd::Final;
}

} // namespace snipestall::gateway
