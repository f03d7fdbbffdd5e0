#pragma once

#include "snipestall/base/event_info.hpp"

#include <span>

namespace snipestall::events {

// Event numbers are never reused. Ranges: 1xx process, 2xx settings, 3xx platform, 4xx membership
// and peers, 5xx requests, 6xx backend servers, 7xx operators, 8xx stand-ins and tools, 9xx
// gateway.
extern const EventInfo ProcessStarted;
extern const EventInfo ProcessStopping;
extern const EventInfo ProcessStopped;
extern const EventInfo SettingsFaulty;
extern const EventInfo ListenFailed;
extern const EventInfo UnexpectedException;
extern const EventInfo SettingsApplied;
extern const EventInfo SettingsRefused;
extern const EventInfo SettingsStale;
extern const EventInfo DataCentreUnknown;
extern const EventInfo PlatformUnavailable;
extern const EventInfo PlatformRecovered;
extern const EventInfo OutcomeSettled;
extern const EventInfo PeerUp;
extern const EventInfo PeerSuspected;
extern const EventInfo PeerLeaving;
extern const EventInfo HandoverStarted;
extern const EventInfo HandoverDone;
extern const EventInfo StewardLeaseTaken;
extern const EventInfo StewardLeaseLost;
extern const EventInfo RequestAccepted;
extern const EventInfo RequestRefused;
extern const EventInfo RequestCompleted;
extern const EventInfo RequestFailed;
extern const EventInfo RequestOutcomeUnknown;
extern const EventInfo RequestResumed;
extern const EventInfo RequestTakenOver;
extern const EventInfo AttemptStarted;
extern const EventInfo AttemptEnded;
extern const EventInfo ClaimLost;
extern const EventInfo ClaimAbandoned;
extern const EventInfo RequestQuarantined;
extern const EventInfo CopyWaits;
extern const EventInfo TrialUndecided;
extern const EventInfo ServerUp;
extern const EventInfo ServerLeaving;
extern const EventInfo ServerLost;
extern const EventInfo ServerEjected;
extern const EventInfo ServerOrdered;
extern const EventInfo OperatorChange;
extern const EventInfo OperatorRefused;
extern const EventInfo OperatorDrain;
extern const EventInfo OperatorChangeUnknown;
extern const EventInfo GatewayRequestEnded;
extern const EventInfo GatewayAttemptEnded;
extern const EventInfo GatewayReady;
extern const EventInfo QuotaRefused;
extern const EventInfo StreamMoved;
extern const EventInfo ServerEnded;
extern const EventInfo LoopLate;
extern const EventInfo RequestCut;
extern const EventInfo ShutdownRefuses;
extern const EventInfo ShutdownTooShort;
extern const EventInfo RepeatRefused;
extern const EventInfo RequestForwarded;
extern const EventInfo PartBlocked;
extern const EventInfo PartAllowed;
extern const EventInfo PartsAlike;
extern const EventInfo BlockedPartsStored;
extern const EventInfo StreamResumed;
extern const EventInfo StreamNotResumed;
extern const EventInfo StreamVersionsStored;
extern const EventInfo StreamGroupsNotStored;
extern const EventInfo StreamGroupsStoredAgain;
extern const EventInfo StreamGroupsRead;
extern const EventInfo StoreLost;
extern const EventInfo StoreRegained;
extern const EventInfo StoreRowFaulty;
extern const EventInfo ServerListed;
extern const EventInfo ServerDelisted;
extern const EventInfo ServerReadmitted;
extern const EventInfo ServerLimitChanged;
extern const EventInfo ServerLimitFaulty;
extern const EventInfo ServersUnreachable;
extern const EventInfo SlotsShared;
extern const EventInfo OverloadRefused;
extern const EventInfo ServerRests;
extern const EventInfo ServerRestEnded;
extern const EventInfo ServerRestFaulty;
extern const EventInfo RestsRefused;
extern const EventInfo ServerSaysItLeaves;
extern const EventInfo ServersReachable;
extern const EventInfo DutyLeaseTaken;
extern const EventInfo DutyLeaseLost;
extern const EventInfo UsageReported;
extern const EventInfo UsageReportFailed;
extern const EventInfo FleetOrdered;
extern const EventInfo FleetOrderFailed;
extern const EventInfo GatewayPeerHeard;
extern const EventInfo GatewayPeerSilent;
extern const EventInfo ReportsUnanswered;
extern const EventInfo TableChangesFetched;
extern const EventInfo TableChangesFaulty;
extern const EventInfo RolloutOrdered;
extern const EventInfo RolloutOrderFaulty;
extern const EventInfo RolloutStepTaken;
extern const EventInfo RolloutStored;
extern const EventInfo RolloutFollowed;
extern const EventInfo ServerAnswerUnreadable;
extern const EventInfo AttemptStalled;
extern const EventInfo ConnectionsGivenUp;

/// Returns all events, ordered by number.
std::span<const EventInfo *const> all();

} // namespace snipestall::events
