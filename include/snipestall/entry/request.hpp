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

/// What is asked, fixed at arrival.
struct RequestSpec
{
    std::string id;
    std::string customer;
    std::string service;
    settings::ServiceKind kind = settings::ServiceKind::Model;
    std::string method;
    std::string target;
    /// The prompt of a model request, the body of a plain one.
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

/// One request on this instance: as its home, or as the owner that runs it for another home.
///
/// Output is a row of pieces, one a token, each at its offset. Pieces can only be appended at the
/// next offset: one that was there before is dropped, so an answer has no gap and no repeat
/// whatever attempt it comes from.
class Request final : public peer::RecordSource
{
public:
    static std::shared_ptr<Request> create(const boost::asio::any_io_executor &executor,
                                           RequestSpec spec, policy::RequestHandle handle);
    /// From a peer's record; the time left counts from now.
    static std::shared_ptr<Request> fromRecord(const boost::asio::any_io_executor &executor,
                                               const peer::v1::RequestRecord &record,
                                               policy::RequestHandle handle);

    [[nodiscard]] const RequestSpec &spec() const { return m_spec; }
    [[nodiscard]] policy::RequestHandle handle() const { return m_handle; }

    /// False if the piece leaves a gap; a repeated one is dropped.
    bool append(std::uint64_t offset, std::string piece);
    /// Only the first final answer counts.
    bool finish(FinalAnswer answer);
    [[nodiscard]] std::uint64_t firstOffset() const { return m_firstOffset; }
    [[nodiscard]] std::uint64_t nextOffset() const { return m_firstOffset + m_pieces.size(); }
    [[nodiscard]] const std::string &piece(std::uint64_t offset) const;
    [[nodiscard]] const std::optional<FinalAnswer> &finalAnswer() const { return m_final; }
    [[nodiscard]] bool finished() const { return m_final.has_value(); }
    /// Wakes at each piece, at the end and at a release.
    [[nodiscard]] wire::Signal &changed() { return m_changed; }

    /// What callers may see: everything that the buddy has too.
    [[nodiscard]] std::uint64_t released() const { return m_released; }
    void release(std::uint64_t progress);

    /// A byte of some attempt may have left; never taken back.
    void markSent();
    /// Of an attempt that this instance made, not the home that it runs for.
    [[nodiscard]] bool sentHere() const { return m_sentHere; }
    [[nodiscard]] bool maybeSent() const { return m_maybeSent || uncertain > 0; }
    /// Forwards under way of which it is not known whether the owner has sent a byte.
    int uncertain = 0;
    /// Backend servers that died with it.
    std::set<std::string> &crashedServers() { return m_crashedServers; }

    /// From now on tells what becomes of it.
    void observe(std::shared_ptr<RequestObserver> observer);

    /// How to break off the attempt under way.
    std::map<std::uint64_t, std::function<void()>> &cancels() { return m_cancels; }
    std::uint32_t attempts = 0;
    /// The attempt that its key's claim was granted to, while the claim counts.
    std::string claimedBy;
    /// It runs here for another home.
    bool forwarded = false;
    /// Another instance has taken it over: callers are told to come back.
    bool moved = false;
    /// It is being handed over: no attempt of it may start here.
    bool suspended = false;
    /// Callers that read it now.
    int readers = 0;
    std::chrono::steady_clock::time_point finishedAt;

    [[nodiscard]] const std::string &requestId() const override { return m_spec.id; }
    [[nodiscard]] std::uint64_t progress() const override;
    [[nodiscard]] peer::v1::RequestRecord record(bool whole, std::uint64_t from) const override;

    Request(const boost::asio::any_io_executor &executor, RequestSpec spec,
            policy::RequestHandle handle);
    ~Request() override;

private:
    void noteProgress();

    RequestSpec m_spec;
    policy::RequestHandle m_handle;
    std::uint64_t m_firstOffset = 0;
    std::vector<std::string> m_pieces;
    std::optional<FinalAnswer> m_final;
    std::uint64_t m_released = 0;
    bool m_maybeSent = false;
    bool m_sentHere = false;
    std::set<std::string> m_crashedServers;
    std::map<std::uint64_t, std::function<void()>> m_cancels;
    wire::Signal m_changed;
    std::shared_ptr<RequestObserver> m_observer;
    /// Arrival or last piece; nothing until the first piece of a request that began elsewhere.
    std::optional<std::chrono::steady_clock::time_point> m_lastProgress;
};

using RequestPtr = std::shared_ptr<Request>;

} // namespace snipestall::entry
