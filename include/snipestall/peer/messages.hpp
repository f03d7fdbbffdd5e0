#pragma once

/// Forward declarations of the messages of proto/peer.proto.
namespace snipestall::peer::v1 {
class FetchSettingsRequest;
class FindRequestRequest;
class ForwardEvent;
class ForwardRequest;
class HandoverReply;
class HandoverRequest;
class HeartbeatReply;
class HeartbeatRequest;
class HoldReply;
class HoldRequest;
class RequestRecord;
class SettingsDocument;
class TrialReply;
class TrialRequest;
} // namespace snipestall::peer::v1
