#pragma once

#include "snipestall/peer/messages.hpp"
#include "snipestall/wire/task.hpp"

#include <memory>

namespace snipestall::peer {

class ForwardSink;

/// Handles the calls of peers. Every method is called on the event loop's thread.
class PeerHandler
{
public:
    virtual ~PeerHandler() = default;

    virtual v1::HeartbeatReply onHeartbeat(const v1::HeartbeatRequest &request) = 0;
    virtual v1::HoldReply onHold(const v1::HoldRequest &request) = 0;
    virtual v1::TrialReply onTrial(const v1::TrialRequest &request) = 0;
    virtual v1::HandoverReply onHandover(const v1::HandoverRequest &request) = 0;
    virtual v1::SettingsDocument onFetchSettings(const v1::FetchSettingsRequest &request) = 0;
    virtual void onForward(const v1::ForwardRequest &request,
                           std::shared_ptr<ForwardSink> sink) = 0;
    virtual void onFindRequest(const v1::FindRequestRequest &request,
                               std::shared_ptr<ForwardSink> sink) = 0;
};

} // namespace snipestall::peer
