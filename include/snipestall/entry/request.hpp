#pragma once

#include "snipestall/entry/final_answer.hpp"
#include "snipestall/peer/record_source.hpp"
#include "snipestall/policy/event.hpp"
#include "snipestall/settings/service_kind.hpp"
#include "snipestall/wire/signal.hpp"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace snipestall::entry {

class RequestObserver;

/// The immutable part of a request, set on arrival.
struct RequestSpec
{
    std::string id;
    std::string customer;
    std::string service;
    settings::ServiceKind kind = settings::ServiceKind::Model;
    std::string method;
    std::string target;
    /// The prompt of a model request or the body of a plain one.
    std::string body;
    std::string contentType;
    std::string model;
    std::string idempotencyKey;
    bool idempotent = true;
    policy::Urgency urgency = policy::Urgency::Normal;
    std::uint32_t promptTokens = 0;
    std::uint32_t maxTokens = 0;
    std::chrono::steady_clock::time_point deadline;
    std::uint64_t settingsVersion = 0;
};

/// State of one request on this instance, which is either the home of the request or the owner that
/// runs it for another home.
///
/// The output is a sequence of pieces, one per token, each with its offset. A piece can only be
/// appended at the next offset, and a piece for an earlier offset is dropped, so that an answer has
/// no gaps and no repeats when several attempts contribute to it.
class Request final : public peer::RecordSource
{
public:
    static std::shared_ptr<Request> create(const boost::asio::any_io_executor &executor,
                                           RequestSpec spec, policy::RequestHandle handle);
    /// Creates a request from a peer's record; the remaining time in the record counts from now.
    static std::shared_ptr<Request> fromRecord(const boost::asio::any_io_executor &executor,
                                               const peer::v1::RequestRecord &record,
                                               policy::RequestHandle handle);

    [[nodiscard]] const RequestSpec &spec() const { return m_spec; }
    [[nodiscard]] policy::RequestHandle handle() const { return m_handle; }

    /// Returns false if the piece would leave a gap or the request has finished. A piece for an
    /// offset that is already filled is dropped and returns true.
    bool append(std::uint64_t offset, std::string piece);
    /// Sets the final answer; returns false if the request already has one, which is kept.
    bool finish(FinalAnswer answer);
    [[nodiscard]] std::uint64_t firstOffset() const { return m_firstOffset; }
    [[nodiscard]] std::uint64_t nextOffset() const { return m_firstOffset + m_pieces.size(); }
    [[nodiscard]] const std::string &piece(std::uint64_t offset) const;
    [[nodiscard]] const std::optional<FinalAnswer> &finalAnswer() const { return m_finalAnswer; }
    [[nodiscard]] bool finished() const { return m_finalAnswer.has_value(); }
    /// Signalled when a piece arrives, on release and when the request ends.
    [[nodiscard]] wire::Signal &changed() { return m_changed; }

    /// Progress up to which callers may see the output: what the buddy also holds.
    [[nodiscard]] std::uint64_t released() const { return m_released; }
    void release(std::uint64_t progress);

    /// Records that a byte of some attempt may have been sent; this is never reset.
    void markSent();
    /// Whether an attempt of this instance may have sent a byte; ignores attempts of the home for
    /// which the request runs here.
    [[nodiscard]] bool sentHere() const { return m_sentHere; }
    /// Whether an attempt of any instance may have sent a byte.
    [[nodiscard]] bool maybeSent() const { return m_maybeSent || unconfirmedForwards > 0; }
    /// Number of running forwards for which it is not known whether the owner has sent a byte.
    int unconfirmedForwards = 0;
    /// Backend servers that crashed while they ran the request.
    std::set<std::string> &crashedServers() { return m_crashedServers; }

    /// Notifies the observer of all further progress.
    void observe(std::shared_ptr<RequestObserver> observer);

    /// Functions that cancel the running attempts, by attempt handle.
    std::map<std::uint64_t, std::function<void()>> &cancelCallbacks() { return m_cancelCallbacks; }
    std::uint32_t attempts = 0;
    /// Id of the attempt to which the claim of the idempotency key was granted; empty if there is
    /// no valid claim.
    std::string claimedBy;
    /// The request runs here for another home.
    bool forwarded = false;
    /// Another instance has taken over the request; callers are asked to reconnect.
    bool moved = false;
    /// The request is being handed over; no attempt may start here.
    bool suspended = false;
    /// Number of callers that are reading the answer.
    int readers = 0;
    std::chrono::steady_clock::time_point finishedAt;

    [[nodiscard]] const std::string &requestId() const override { return m_spec.id; }
    /// The next offset, plus one if the request has finished.
    [[nodiscard]] std::uint64_t progress() const override;
    /// The record for the buddy or another instance: with `whole`, the specification and all
    /// output, otherwise only the output from offset `from` on.
    [[nodiscard]] peer::v1::RequestRecord record(bool whole, std::uint64_t from) const override;

    Request(const boost::asio::any_io_executor &executor, RequestSpec spec,
            policy::RequestHandle handle);
    ~Request() override;

private:
    void reportProgress();

    RequestSpec m_spec;
    policy::RequestHandle m_handle;
    std::uint64_t m_firstOffset = 0;
    std::vector<std::string> m_pieces;
    std::optional<FinalAnswer> m_finalAnswer;
    std::uint64_t m_released = 0;
    bool m_maybeSent = false;
    bool m_sentHere = false;
    std::set<std::string> m_crashedServers;
    std::map<std::uint64_t, std::function<void()>> m_cancelCallbacks;
    wire::Signal m_changed;
    std::shared_ptr<RequestObserver> m_observer;
    /// Time of arrival or of the last piece. Empty until the first piece for a request that started
    /// on another instance.
    std::optional<std::chrono::steady_clock::time_point> m_lastProgress;
};

using RequestPtr = std::shared_ptr<Request>;

} // namespace snipestall::entry
