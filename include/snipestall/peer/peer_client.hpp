#pragma once

#include "snipestall/base/result.hpp"
#include "snipestall/peer/messages.hpp"
#include "snipestall/wire/task.hpp"

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <memory>
#include <string>

namespace snipestall::peer {

class ForwardCall;

/// gRPC channel to one peer. Calls resume on the event loop's thread. Every failure is
/// OutcomeUnknown, because gRPC does not report whether the peer has received the call.
class PeerClient
{
public:
    PeerClient(boost::asio::io_context &io, const std::string &address);
    ~PeerClient();

    wire::Task<Result<v1::HeartbeatReply>> heartbeat(v1::HeartbeatRequest request,
                                                     std::chrono::milliseconds timeout);
    wire::Task<Result<v1::HoldReply>> hold(v1::HoldRequest request,
                                           std::chrono::milliseconds timeout);
    wire::Task<Result<v1::TrialReply>> trial(v1::TrialRequest request,
                                             std::chrono::milliseconds timeout);
    wire::Task<Result<v1::HandoverReply>> handover(v1::HandoverRequest request,
                                                   std::chrono::milliseconds timeout);
    wire::Task<Result<v1::SettingsDocument>> fetchSettings(v1::FetchSettingsRequest request,
                                                           std::chrono::milliseconds timeout);
    std::unique_ptr<ForwardCall> forward(const v1::ForwardRequest &request,
                                         std::chrono::milliseconds timeout);
    std::unique_ptr<ForwardCall> findRequest(const v1::FindRequestRequest &request,
                                             std::chrono::milliseconds timeout);

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace snipestall::peer
