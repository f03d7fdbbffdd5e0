#include "snipestall/entry/request.hpp"

#include "snipestall/entry/request_observer.hpp"

#include "peer.pb.h"

#include <algorithm>
#include <utility>

namespace snipestall::entry {

namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

std::uint32_t millisecondsLeft(steady_clock::time_point deadline)
{
    const auto left = duration_cast<milliseconds>(deadline - steady_clock::now()).count();
    return static_cast<std::uint32_t>(std::max<std::int64_t>(0, left));
}

RequestSpec specFrom(const peer::v1::RequestRecord &record)
{
    RequestSpec spec;
    spec.id = record.request();
    spec.customer = record.customer();
    spec.service = record.service();
    spec.kind =
        record.model().empty() ? settings::ServiceKind::Plain : settings::ServiceKind::Model;
    spec.method = record.method();
    spec.target = record.target();
    spec.body = record.body();
    spec.contentType = record.content_type();
    spec.model = record.model();
    spec.idempotencyKey = record.idempotency_key();
    spec.idempotent = record.idempotent();
    spec.urgency = static_cast<policy::Urgency>(record.urgency());
    spec.promptTokens = record.prompt_tokens();
    spec.maxTokens = record.max_tokens();
    spec.deadline = steady_clock::now() + milliseconds(record.deadline_left_ms());
    spec.settingsVersion = record.settings_version();
    return spec;
}

void writeSpec(const RequestSpec &spec, peer::v1::RequestRecord &record)
{
    record.set_customer(spec.customer);
    record.set_service(spec.service);
    record.set_method(spec.method);
    record.set_target(spec.target);
    record.set_body(spec.body);
    record.set_content_type(spec.contentType);
    record.set_model(spec.model);
    record.set_idempotency_key(spec.idempotencyKey);
    record.set_idempotent(spec.idempotent);
    record.set_urgency(static_cast<std::uint32_t>(spec.urgency));
    record.set_prompt_tokens(spec.promptTokens);
    record.set_max_tokens(spec.maxTokens);
    record.set_settings_version(spec.settingsVersion);
}

} // namespace

Request::Request(const boost::asio::any_io_executor &executor, RequestSpec spec,
                 policy::RequestHandle handle)
    : m_spec(std::move(spec))
    , m_handle(handle)
    , m_changed(executor)
{ }

Request::~Request() = default;

RequestPtr Request::create(const boost::asio::any_io_executor &executor, RequestSpec spec,
                           policy::RequestHandle handle)
{
    auto request = std::make_shared<Request>(executor, std::move(spec), handle);
    request->m_lastProgress = steady_clock::now();
    return request;
}

RequestPtr Request::fromRecord(const boost::asio::any_io_executor &executor,
                               const peer::v1::RequestRecord &record, policy::RequestHandle handle)
{
    auto request = std::make_shared<Request>(executor, specFrom(record), handle);
    request->m_firstOffset = record.output_offset();
    request->m_pieces.assign(record.output().begin(), record.output().end());
    request->m_maybeSent = record.maybe_sent();
    request->attempts = record.attempts();
    for (const std::string &server : record.crashed_servers())
        request->m_crashedServers.insert(server);
    if (record.finished()) {
        FinalAnswer answer;
        answer.outcome = outcomeFrom(record.outcome());
        answer.status = static_cast<int>(record.status());
        answer.body = record.final_body();
        answer.contentType = record.final_content_type();
        answer.reason = record.reason();
        answer.code = record.code();
        request->finish(std::move(answer));
    }
    request->m_released = request->progress();
    return request;
}

bool Request::append(std::uint64_t offset, std::string piece)
{
    if (offset > nextOffset() || finished())
        return false;
    if (offset < nextOffset())
        return true;
    m_pieces.push_back(std::move(piece));
    reportProgress();
    m_changed.notifyAll();
    return true;
}

void Request::observe(std::shared_ptr<RequestObserver> observer)
{
    m_observer = std::move(observer);
    if (m_observer && m_lastProgress)
        m_observer->arrived(m_spec);
}

void Request::reportProgress()
{
    const auto now = steady_clock::now();
    if (m_observer && m_lastProgress) {
        const auto delay = now - *m_lastProgress;
        if (m_pieces.size() == 1)
            m_observer->firstPieceProduced(m_spec, delay);
        else
            m_observer->nextPieceProduced(m_spec, delay);
    }
    m_lastProgress = now;
}

bool Request::finish(FinalAnswer answer)
{
    if (finished())
        return false;
    m_finalAnswer = std::move(answer);
    finishedAt = steady_clock::now();
    if (m_observer)
        m_observer->ended(m_spec, *m_finalAnswer);
    m_changed.notifyAll();
    return true;
}

const std::string &Request::piece(std::uint64_t offset) const
{
    return m_pieces.at(offset - m_firstOffset);
}

void Request::release(std::uint64_t progress)
{
    m_released = std::max(m_released, progress);
    m_changed.notifyAll();
}

void Request::markSent()
{
    m_maybeSent = true;
    m_sentHere = true;
    m_changed.notifyAll();
}

std::uint64_t Request::progress() const
{
    return nextOffset() + (finished() ? 1 : 0);
}

peer::v1::RequestRecord Request::record(bool whole, std::uint64_t from) const
{
    peer::v1::RequestRecord record;
    record.set_request(m_spec.id);
    record.set_whole(whole);
    record.set_deadline_left_ms(millisecondsLeft(m_spec.deadline));
    record.set_attempts(attempts);
    record.set_maybe_sent(m_maybeSent);
    if (whole)
        writeSpec(m_spec, record);
    const std::uint64_t first = whole ? m_firstOffset : std::max(from, m_firstOffset);
    record.set_output_offset(std::min(first, nextOffset()));
    for (std::uint64_t offset = first; offset < nextOffset(); ++offset)
        record.add_output(piece(offset));
    for (const std::string &server : m_crashedServers)
        record.add_crashed_servers(server);
    if (m_finalAnswer) {
        record.set_finished(true);
        record.set_status(static_cast<std::uint32_t>(m_finalAnswer->status));
        record.set_outcome(std::string(toString(m_finalAnswer->outcome)));
        record.set_final_body(m_finalAnswer->body);
        record.set_final_content_type(m_finalAnswer->contentType);
        record.set_reason(m_finalAnswer->reason);
        record.set_code(m_finalAnswer->code);
    }
    return record;
}

} // namespace snipestall::entry
