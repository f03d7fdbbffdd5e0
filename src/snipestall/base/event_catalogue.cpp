#include "snipestall/base/event_catalogue.hpp"

#include <array>

namespace snipestall::events {

const EventInfo ProcessStarted { 100, Severity::Info, "process-started",
                                 "The daemon is listening and serving requests.", "None." };
const EventInfo ProcessStopping {
    101, Severity::Info, "process-stopping",
    "A graceful shutdown began: new work is refused, work in progress continues.",
    "Wait for 102; a second signal does not end the shutdown earlier."
};
const EventInfo ProcessStopped { 102, Severity::Info, "process-stopped",
                                 "Every request in progress ended or was handed over.", "None." };
const EventInfo SettingsFaulty {
    110, Severity::Error, "local-settings-faulty",
    "The local settings file is invalid; the process exits with status 2.",
    "Correct each listed path and check the file with snipestalld --check."
};
const EventInfo ListenFailed { 111, Severity::Error, "listen-failed",
                               "A listener could not be opened.",
                               "Free the port or change it in the local settings file." };
const EventInfo UnexpectedException {
    190, Severity::Error, "unexpected-exception",
    "An exception reached the event loop and was caught there; the line names the task. What it "
    "belongs to ended as failed or unknown, and a task that lasts as long as the process begins "
    "again.",
    "Report it with the surrounding log lines."
};
const EventInfo SettingsApplied { 200, Severity::Info, "settings-applied",
                                  "A newer version of the settings is in force on this instance.",
                                  "None." };
const EventInfo SettingsRefused {
    201, Severity::Error, "settings-refused",
    "A settings document failed validation or did not match its hash, and was not applied.",
    "Compare the version in the line with the output of snipestallctl history."
};
const EventInfo SettingsStale {
    202, Severity::Warning, "settings-stale",
    "Neither the platform nor a peer has confirmed the settings for longer than the stated time.",
    "Check the connection to the platform and between data centres."
};
const EventInfo DataCentreUnknown {
    203, Severity::Error, "data-centre-unknown",
    "The settings in force do not contain this instance's data centre, so it refuses every "
    "request.",
    "Add the data centre with its share, or correct data_centre in the local settings file."
};
const EventInfo PlatformUnavailable {
    300, Severity::Warning, "platform-unavailable",
    "The platform's service does not respond; the instance continues to serve without it.",
    "Check the platform. Until it responds, non-idempotent requests with a key are refused as not "
    "run."
};
const EventInfo PlatformRecovered { 301, Severity::Info, "platform-recovered",
                                    "The platform's service responds again.", "None." };
const EventInfo OutcomeSettled {
    302, Severity::Info, "outcome-settled",
    "The response to a write was lost; reading the data back has shown its outcome.", "None."
};
const EventInfo PeerUp { 400, Severity::Info, "peer-up", "A peer instance responds.", "None." };
const EventInfo PeerSuspected { 401, Severity::Warning, "peer-suspected",
                                "A peer instance has not reported for longer than its term.",
                                "Check the instance if it does not report again." };
const EventInfo PeerLeaving { 402, Severity::Info, "peer-leaving",
                              "A peer instance is shutting down or under notice.", "None." };
const EventInfo HandoverStarted { 410, Severity::Info, "handover-started",
                                  "This instance is handing over its accepted requests.", "None." };
const EventInfo HandoverDone {
    411, Severity::Info, "handover-done",
    "The handover ended; the line says how many requests were taken over.", "None."
};
const EventInfo StewardLeaseTaken {
    420, Severity::Info, "steward-lease-taken",
    "This instance took the lease and now issues the orders of its data centre.", "None."
};
const EventInfo StewardLeaseLost {
    421, Severity::Warning, "steward-lease-lost",
    "This instance no longer issues orders: its lease ended or could not be renewed.",
    "None; another instance takes the lease once the platform responds."
};
const EventInfo RequestAccepted {
    500, Severity::Debug, "request-accepted",
    "A request arrived from a caller, a peer or a lost home, and this instance decides on its "
    "admission. If no 501 or 507 follows, it is waiting in this instance's queue.",
    "None."
};
const EventInfo RequestRefused {
    501, Severity::Info, "request-refused",
    "A request was refused; no byte of it was sent to a backend server.",
    "Check the reason; raise the limit or the capacity if this repeats."
};
const EventInfo RequestCompleted { 502, Severity::Debug, "request-completed",
                                   "A request received its complete response.", "None." };
const EventInfo RequestFailed { 503, Severity::Warning, "request-failed",
                                "A request ran and failed.",
                                "Check the reason and the backend server in the line." };
const EventInfo RequestOutcomeUnknown {
    504, Severity::Warning, "request-outcome-unknown",
    "A non-idempotent request may or may not have run; it is not sent again.",
    "Query the backend service for the key in the line."
};
const EventInfo RequestResumed { 505, Severity::Info, "request-resumed",
                                 "A stream was resumed from its offset on another backend server.",
                                 "None." };
const EventInfo RequestTakenOver { 506, Severity::Info, "request-taken-over",
                                   "A request of a lost or leaving instance was taken over.",
                                   "None." };
const EventInfo AttemptStarted { 507, Severity::Debug, "attempt-started",
                                 "A request is sent to a backend server or forwarded to its owner.",
                                 "None." };
const EventInfo AttemptEnded { 508, Severity::Debug, "attempt-ended",
                               "An attempt ended; the line says how.", "None." };
const EventInfo ClaimLost {
    510, Severity::Info, "claim-lost",
    "Another instance holds the claim on this key; this instance does not send the request.",
    "None."
};
const EventInfo ClaimAbandoned { 511, Severity::Warning, "claim-abandoned",
                                 "A claim was abandoned because the outcome of its write could not "
                                 "be determined; its request was never sent.",
                                 "None; the row is marked once the platform responds." };
const EventInfo RequestQuarantined {
    520, Severity::Warning, "request-quarantined",
    "Two backend servers crashed while running a request; it is not run again.",
    "Inform the customer; the line contains the fingerprint."
};
const EventInfo CopyWaits { 521, Severity::Info, "copy-waits",
                            "Another copy of the same prompt started first; this one waits until "
                            "that copy has its first token.",
                            "None." };
const EventInfo TrialUndecided {
    522, Severity::Warning, "trial-undecided",
    "The instances that decide which copy of a new prompt starts do not respond, so this copy "
    "starts.",
    "If this repeats, find out why these instances are slow or unreachable."
};
const EventInfo ServerUp { 600, Severity::Info, "server-up", "A backend server is ready for work.",
                           "None." };
const EventInfo ServerLeaving { 601, Severity::Info, "server-leaving",
                                "A backend server is leaving and gets no new work.", "None." };
const EventInfo ServerLost { 602, Severity::Warning, "server-lost",
                             "A backend server does not respond.",
                             "Check the server if it does not come back." };
const EventInfo ServerEjected {
    603, Severity::Warning, "server-ejected",
    "A backend server is much slower than the rest of its pool and gets no new work for a while.",
    "Check the server if this repeats."
};
const EventInfo ServerOrdered { 610, Severity::Info, "server-ordered",
                                "The steward ordered a start, a release, a load or a role.",
                                "None." };
const EventInfo OperatorChange { 700, Severity::Info, "operator-change",
                                 "An operator changed the settings.", "None." };
const EventInfo OperatorRefused { 701, Severity::Warning, "operator-refused",
                                  "An operator's change was refused.",
                                  "Check the reason in the line; nothing was applied." };
const EventInfo OperatorDrain { 702, Severity::Info, "operator-drain",
                                "An operator asked this instance to drain.", "None." };
const EventInfo OperatorChangeUnknown {
    703, Severity::Warning, "operator-change-unknown",
    "The response to an operator's change was lost and its outcome could not be read back; the "
    "change may be in force.",
    "Send the change again with the id in the line; it takes effect at most once."
};

const EventInfo GatewayRequestEnded {
    900, Severity::Info, "gateway-request-ended",
    "A caller's attempt ended with its final response; the line has the reason and the time taken.",
    "None; the 901 lines with the same attempt id show its calls to backend servers."
};
const EventInfo GatewayAttemptEnded {
    901, Severity::Info, "gateway-attempt-ended",
    "A call of one backend server ended; the line says how it started and ended.",
    "None; many lost calls at one server point to a fault of that server or of the network path to "
    "it."
};
const EventInfo GatewayReady {
    902, Severity::Info, "gateway-ready",
    "The readiness of this instance changed, which tells whether it should get new connections.",
    "None."
};
const EventInfo QuotaRefused {
    903, Severity::Info, "quota-refused",
    "A request was refused because its customer's quota is currently exhausted.",
    "Raise the quota if the customer should get more; free and rate are in the quota's unit."
};
const EventInfo StreamMoved {
    904, Severity::Info, "stream-moved",
    "A running stream was moved away from a server that is being reclaimed.",
    "None; if the stream could not be moved, the error says why."
};
const EventInfo ServerEnded {
    905, Severity::Warning, "server-ended",
    "A backend server closed its connections and refuses new ones. The requests that were in "
    "flight there are recorded; a request that was in flight at three such servers is refused.",
    "If this repeats, look for 900 with ends-servers and inform the customer."
};
const EventInfo LoopLate {
    906, Severity::Warning, "loop-late",
    "The event loop was late: the line has the longest time that an event waited within the last "
    "second, and what the process handled meanwhile.",
    "If this persists, give the instance more processor time or fewer callers."
};
const EventInfo RequestCut {
    907, Severity::Warning, "request-cut",
    "The connection of a request was closed without a final response, because the process ended.",
    "Look for earlier 906 and 910; if requests often last longer than the grace period, raise it."
};
const EventInfo ShutdownRefuses {
    908, Severity::Info, "shutdown-refuses",
    "The process is shutting down and from now on refuses new requests as not run.", "None."
};
const EventInfo ShutdownTooShort {
    990, Severity::Info, "shutdown-too-short",
    "The process is shutting down, and a request was refused as not run, because it is expected to "
    "take longer than the time that is left.",
    "None; if most requests of a route are refused so, raise the grace period."
};
const EventInfo RepeatRefused {
    909, Severity::Info, "repeat-refused",
    "A request was not sent to another server, because the limit on repeats for its service is "
    "used "
    "up.",
    "None; if this lasts, most attempts at the service fail: see the 901 lines of its servers."
};
const EventInfo RequestForwarded {
    913, Severity::Info, "request-forwarded",
    "A request was forwarded to another instance; search that instance's output for the same "
    "attempt.",
    "None; see the servers-unreachable line before it."
};
const EventInfo StreamResumed {
    914, Severity::Info, "stream-resumed",
    "A caller took up a stream; the line has the service and software version that began it and "
    "have to write the rest, and where and how long ago that was learned.",
    "None; the 901 lines with the same attempt id show the servers that were tried."
};
const EventInfo StreamNotResumed {
    915, Severity::Info, "stream-not-resumed",
    "A stream could not be continued, because it is not known which version began it, or no server "
    "of that version can continue it.",
    "With no-server-of-version, look why its servers left; with unknown, which instances ended "
    "before they had reported."
};
const EventInfo StreamVersionsStored {
    916, Severity::Info, "stream-versions-stored",
    "The row of the store changed that says which software versions may begin streams.", "None."
};
const EventInfo StreamGroupsNotStored {
    980, Severity::Warning, "stream-groups-not-stored",
    "The records of begun streams could not be written into the store. If all instances end now, "
    "streams that began meanwhile can't be continued.",
    "Look at the store; writes are tried again every 2 s at least."
};
const EventInfo StreamGroupsStoredAgain {
    981, Severity::Info, "stream-groups-stored-again",
    "The records of begun streams are written into the store again.", "None."
};
const EventInfo StreamGroupsRead {
    982, Severity::Info, "stream-groups-read",
    "The records of begun streams were read from the store, because this process has just started "
    "or a caller took up a stream that no instance knows.",
    "None."
};
const EventInfo PartBlocked {
    917, Severity::Warning, "part-blocked",
    "Requests with this part in their prompts are refused, because the servers in the line ended "
    "while such requests were in flight there and none of them was answered in full since.",
    "Inform the customer, and look why the part crashes the servers. To allow it, remove its entry "
    "from the row of the store that 919 names."
};
const EventInfo PartAllowed {
    918, Severity::Info, "part-allowed",
    "A part of prompts that was blocked is allowed again: a request with it was answered in full, "
    "or its entry was removed.",
    "None."
};
const EventInfo PartsAlike {
    955, Severity::Warning, "parts-alike",
    "Requests are refused that have this part in their prompts and all others that have such a "
    "line with the same servers: these ended while such requests were in flight there, and nothing "
    "tells yet which of the parts is the cause.",
    "None; the part that is the cause gets a line part-blocked."
};
const EventInfo BlockedPartsStored {
    919, Severity::Info, "blocked-parts-stored",
    "The row blocked-parts/parts of the store, which lists the blocked parts of prompts, changed.",
    "None."
};
const EventInfo StoreLost {
    910, Severity::Warning, "store-lost",
    "The platform's store does not respond; the last known data stays in force.",
    "Check the store and the network path to it if this persists."
};
const EventInfo StoreRegained { 911, Severity::Info, "store-regained",
                                "The platform's store responds again.", "None." };
const EventInfo StoreRowFaulty {
    912, Severity::Error, "store-row-faulty",
    "A row of the store can't be read and was skipped; its last valid value stays in force.",
    "Correct the field that the line names."
};
const EventInfo ServerListed { 920, Severity::Info, "server-listed",
                               "The list of backend servers has a new or changed entry.", "None." };
const EventInfo ServerDelisted {
    921, Severity::Info, "server-delisted",
    "A backend server was removed from the list and gets no new requests.", "None."
};
const EventInfo ServerReadmitted { 922, Severity::Info, "server-readmitted",
                                   "A backend server whose entry had been removed has been listed "
                                   "again for long enough and gets work.",
                                   "None." };
const EventInfo ServerLimitChanged {
    923, Severity::Info, "server-limit-changed",
    "A backend server named the requests per second that it takes from all instances together, or "
    "another number, or none any more (per_second is empty); from is the instance that knows.",
    "Look why the server is in need; its other requests go to other servers meanwhile."
};
const EventInfo ServerLimitFaulty {
    924, Severity::Error, "server-limit-faulty",
    "A backend server named a limit that is not a decimal number of at least 0; what was known of "
    "it stays in force.",
    "Correct the server."
};
const EventInfo ServersUnreachable {
    925, Severity::Warning, "servers-unreachable",
    "This instance reaches no backend server; requests of its callers are forwarded to other "
    "instances that do.",
    "Check the network between this instance and the servers."
};
const EventInfo ServersReachable { 926, Severity::Info, "servers-reachable",
                                   "This instance reaches backend servers again.", "None." };
const EventInfo SlotsShared {
    927, Severity::Warning, "slots-shared",
    "The servers of a service fail if they have to reject requests, so each of their slots belongs "
    "to one instance from now on; requests without a free slot are refused.",
    "Look why the servers are in need; give the service more of them."
};
const EventInfo OverloadRefused {
    928, Severity::Info, "overload-refused",
    "A request was refused at once, because it would have been late at every server; the line has "
    "the predicted time to its first event, its target, and whether its customer asks for more "
    "than its share.",
    "If this lasts, give the service more servers; with over_share, see which customer sends more "
    "than usual."
};
const EventInfo ServerRests {
    929, Severity::Info, "server-rests",
    "A backend server answered 503 and asked this instance to send it nothing for the time that "
    "the "
    "line has; longer rests that it asks for meanwhile have no line of their own.",
    "If this lasts, give the service more servers; requests go to its other servers meanwhile."
};
const EventInfo ServerRestEnded { 938, Severity::Info, "server-rest-ended",
                                  "The rest that a backend server had asked for is over; it gets "
                                  "single requests until it serves one.",
                                  "None." };
const EventInfo ServerRestFaulty {
    939, Severity::Error, "server-rest-faulty",
    "A backend server answered 503 and asked for a rest that is neither a number of seconds nor a "
    "date; it is not taken as resting.",
    "Correct the server."
};
const EventInfo RestsRefused {
    936, Severity::Info, "rests-refused",
    "A request was refused at once, because all servers that could serve it have asked this "
    "instance for rest; the line has the number of servers at rest, the time until the first may "
    "get a request, and when the caller was told to come back.",
    "If this lasts, give the service more servers."
};
const EventInfo ServerSaysItLeaves {
    937, Severity::Info, "server-says-it-leaves",
    "A backend server said in an answer that it leaves, before its entry in the list did; it gets "
    "no new requests. from is the instance that got the answer.",
    "None."
};
const EventInfo DutyLeaseTaken {
    930, Severity::Info, "duty-lease-taken",
    "This instance took the lease and now acts on behalf of all instances.", "None."
};
const EventInfo DutyLeaseLost { 931, Severity::Info, "duty-lease-lost",
                                "This instance no longer acts on behalf of all instances.",
                                "None." };
const EventInfo UsageReported { 932, Severity::Info, "usage-reported",
                                "The usage of one window was reported.", "None." };
const EventInfo UsageReportFailed { 933, Severity::Warning, "usage-report-failed",
                                    "A usage report was not accepted; it is sent again unchanged.",
                                    "Check the platform's API if this persists." };
const EventInfo FleetOrdered { 934, Severity::Info, "fleet-ordered",
                               "A number of backend servers was ordered for one service.",
                               "None." };
const EventInfo FleetOrderFailed {
    935, Severity::Warning, "fleet-order-failed", "An order for backend servers was not accepted.",
    "None if the line says that none are available; the order is tried again."
};
const EventInfo GatewayPeerHeard {
    940, Severity::Info, "gateway-peer-heard",
    "Another instance reported for the first time, or again after a gap.", "None."
};
const EventInfo GatewayPeerSilent {
    941, Severity::Warning, "gateway-peer-silent", "Another instance has not reported for a while.",
    "Check the instance and the network path to it if this persists."
};
const EventInfo ReportsUnanswered {
    942, Severity::Warning, "reports-unanswered",
    "Within the last second, reports to other instances got no answer in time: the line has their "
    "number, how many failed with the connection, the bytes that were sent and how many of them "
    "are rows of the store's tables.",
    "If the peers are up, compare the bytes with what the links of both instances carry."
};
const EventInfo TableChangesFetched {
    943, Severity::Info, "table-changes-fetched",
    "Changes of a table of the store that are too large for a report were fetched from another "
    "instance.",
    "None."
};
const EventInfo TableChangesFaulty {
    944, Severity::Warning, "table-changes-faulty",
    "Changes of a table that another instance passed on can't be applied; the whole rows are "
    "requested.",
    "If this persists, check that all instances read the same store."
};
const EventInfo RolloutOrdered {
    950, Severity::Info, "rollout-ordered",
    "The operator ordered that the traffic of a service move to another version of its servers.",
    "None."
};
const EventInfo RolloutOrderFaulty {
    951, Severity::Error, "rollout-order-faulty",
    "An order for a rollout can't be read and changes nothing.",
    "Correct the field that the line names and write the order again."
};
const EventInfo RolloutStepTaken {
    952, Severity::Info, "rollout-step",
    "The holder of the lease took a rollout to another step; the line has the reason and the "
    "evidence.",
    "If a version was rolled back, compare the evidence with its answers before it is ordered "
    "again."
};
const EventInfo RolloutStored { 953, Severity::Info, "rollout-stored",
                                "The step of a rollout is stored and reported to the operator.",
                                "None." };
const EventInfo RolloutFollowed { 954, Severity::Info, "rollout-followed",
                                  "This instance heard of another step of a rollout.", "None." };
const EventInfo ServerAnswerUnreadable {
    960, Severity::Warning, "server-answer-unreadable",
    "A backend server's answer is not HTTP, or a part of it is longer than the limits; its "
    "connection was closed.",
    "Look at the named server."
};

const EventInfo AttemptStalled {
    970, Severity::Info, "attempt-stalled",
    "An attempt waits for far longer than predicted and nothing arrives from its server. It was "
    "replaced by another one, or goes on waiting; the decision says which, and why.",
    "None; if this lasts, look whether the server runs and can be reached."
};

const EventInfo ConnectionsGivenUp {
    971, Severity::Warning, "connections-given-up",
    "Connections whose request or answer made no progress were given up, because memory or "
    "descriptors were short; the line has their number, and the stage and time of the one that had "
    "stalled for longest.",
    "Look which clients send requests that they don't finish, or don't read their answers."
};

namespace {

const std::array AllEvents {
    &ProcessStarted,
    &ProcessStopping,
    &ProcessStopped,
    &SettingsFaulty,
    &ListenFailed,
    &UnexpectedException,
    &SettingsApplied,
    &SettingsRefused,
    &SettingsStale,
    &PlatformUnavailable,
    &PlatformRecovered,
    &OutcomeSettled,
    &PeerUp,
    &PeerSuspected,
    &PeerLeaving,
    &HandoverStarted,
    &HandoverDone,
    &StewardLeaseTaken,
    &StewardLeaseLost,
    &RequestAccepted,
    &RequestRefused,
    &RequestCompleted,
    &RequestFailed,
    &RequestOutcomeUnknown,
    &RequestResumed,
    &RequestTakenOver,
    &AttemptStarted,
    &AttemptEnded,
    &ClaimLost,
    &ClaimAbandoned,
    &RequestQuarantined,
    &CopyWaits,
    &TrialUndecided,
    &ServerUp,
    &ServerLeaving,
    &ServerLost,
    &ServerEjected,
    &ServerOrdered,
    &OperatorChange,
    &OperatorRefused,
    &OperatorDrain,
    &OperatorChangeUnknown,
    &GatewayRequestEnded,
    &GatewayAttemptEnded,
    &GatewayReady,
    &QuotaRefused,
    &StreamMoved,
    &ServerEnded,
    &LoopLate,
    &RequestCut,
    &ShutdownRefuses,
    &ShutdownTooShort,
    &RepeatRefused,
    &RequestForwarded,
    &PartBlocked,
    &PartAllowed,
    &PartsAlike,
    &BlockedPartsStored,
    &StreamResumed,
    &StreamNotResumed,
    &StreamVersionsStored,
    &StreamGroupsNotStored,
    &StreamGroupsStoredAgain,
    &StreamGroupsRead,
    &StoreLost,
    &StoreRegained,
    &StoreRowFaulty,
    &ServerListed,
    &ServerDelisted,
    &ServerReadmitted,
    &ServerLimitChanged,
    &ServerLimitFaulty,
    &ServersUnreachable,
    &ServersReachable,
    &SlotsShared,
    &OverloadRefused,
    &ServerRests,
    &ServerRestEnded,
    &ServerRestFaulty,
    &RestsRefused,
    &ServerSaysItLeaves,
    &DutyLeaseTaken,
    &DutyLeaseLost,
    &UsageReported,
    &UsageReportFailed,
    &FleetOrdered,
    &FleetOrderFailed,
    &GatewayPeerHeard,
    &GatewayPeerSilent,
    &ReportsUnanswered,
    &TableChangesFetched,
    &TableChangesFaulty,
    &RolloutOrdered,
    &RolloutOrderFaulty,
    &RolloutStepTaken,
    &RolloutStored,
    &RolloutFollowed,
    &ServerAnswerUnreadable,
    &AttemptStalled,
    &ConnectionsGivenUp,
};

} // namespace

std::span<const EventInfo *const> all()
{
    return AllEvents;
}

} // namespace snipestall::events
