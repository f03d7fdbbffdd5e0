#include "snipestall/base/event_catalogue.hpp"

#include <array>

namespace snipestall::events {

const EventInfo ProcessStarted { 100, Severity::Info, "process-started",
                                 "The daemon listens and serves.", "None." };
const EventInfo ProcessStopping {
    101, Severity::Info, "process-stopping",
    "A graceful shutdown began: no new work is accepted, work in progress goes on.",
    "Wait for 102; a second signal does not cut it short."
};
const EventInfo ProcessStopped { 102, Severity::Info, "process-stopped",
                                 "Every request in progress ended or was handed over.", "None." };
const EventInfo SettingsFaulty { 110, Severity::Error, "local-settings-faulty",
                                 "The local settings file has faults; the process exits with 2.",
                                 "Mend each listed path, check with snipestalld --check." };
const EventInfo ListenFailed { 111, Severity::Error, "listen-failed",
                               "A listener could not be opened.",
                               "Free the port or change it in the local settings file." };
const EventInfo UnexpectedException { 190, Severity::Error, "unexpected-exception",
                                      "A broken invariant was caught at the edge of the loop; the "
                                      "request it belongs to ended as failed or unknown.",
                                      "Report it with the lines around it." };
const EventInfo SettingsApplied { 200, Severity::Info, "settings-applied",
                                  "A newer version of the settings is in force on this instance.",
                                  "None." };
const EventInfo SettingsRefused {
    201, Severity::Error, "settings-refused",
    "A settings document failed its checks or its hash and was not applied.",
    "Compare snipestallctl history with the version named."
};
const EventInfo SettingsStale {
    202, Severity::Warning, "settings-stale",
    "Neither the platform nor a peer has confirmed the settings for longer than the stated time.",
    "Check the connection to the platform and between data centres."
};
const EventInfo DataCentreUnknown {
    203, Severity::Error, "data-centre-unknown",
    "The settings in force do not name this instance's data centre: it refuses every request.",
    "Add the data centre with its share, or correct data_centre in the local settings file."
};
const EventInfo PlatformUnavailable {
    300, Severity::Warning, "platform-unavailable",
    "The platform's service does not answer; serving goes on without it.",
    "Check the platform. Keyed non-idempotent requests are refused as not run meanwhile."
};
const EventInfo PlatformRecovered { 301, Severity::Info, "platform-recovered",
                                    "The platform's service answers again.", "None." };
const EventInfo OutcomeSettled {
    302, Severity::Info, "outcome-settled",
    "A write whose answer was lost has been settled by reading it back.", "None."
};
const EventInfo PeerUp { 400, Severity::Info, "peer-up", "A peer instance answers.", "None." };
const EventInfo PeerSuspected { 401, Severity::Warning, "peer-suspected",
                                "A peer instance has been silent for longer than its term.",
                                "Check the instance if it stays silent." };
const EventInfo PeerLeaving { 402, Severity::Info, "peer-leaving",
                              "A peer instance is shutting down or under notice.", "None." };
const EventInfo HandoverStarted { 410, Severity::Info, "handover-started",
                                  "This instance hands its accepted requests over.", "None." };
const EventInfo HandoverDone { 411, Severity::Info, "handover-done",
                               "The hand-over ended; the line says how many were taken.", "None." };
const EventInfo StewardLeaseTaken { 420, Severity::Info, "steward-lease-taken",
                                    "This instance gives the data centre's orders from now on.",
                                    "None." };
const EventInfo StewardLeaseLost {
    421, Severity::Warning, "steward-lease-lost",
    "This instance gives no more orders: its lease ended or could not be renewed.",
    "None; another instance takes the lease when the platform answers."
};
const EventInfo RequestAccepted {
    500, Severity::Debug, "request-accepted",
    "A request came from a caller, a peer or a lost home, and its admission is decided here. "
    "Without a line 501 or 507 after it, it waits in this instance's queue.",
    "None."
};
const EventInfo RequestRefused {
    501, Severity::Info, "request-refused", "A request was refused; no byte of it left.",
    "Look at the reason; raise the limit or the capacity if it repeats."
};
const EventInfo RequestCompleted { 502, Severity::Debug, "request-completed",
                                   "A request was answered in full.", "None." };
const EventInfo RequestFailed { 503, Severity::Warning, "request-failed",
                                "A request was run and failed.",
                                "Look at the reason and the backend server named." };
const EventInfo RequestOutcomeUnknown {
    504, Severity::Warning, "request-outcome-unknown",
    "A non-idempotent request may or may not have run; it is not sent again.",
    "Ask the backend service for the key named."
};
const EventInfo RequestResumed { 505, Severity::Info, "request-resumed",
                                 "A stream goes on from its offset on another backend server.",
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
    "Another instance holds the claim on this key; the request is not sent here.", "None."
};
const EventInfo ClaimAbandoned {
    511, Severity::Warning, "claim-abandoned",
    "A claim whose write could not be settled was given up and never dispatched.",
    "None; the row is marked when the platform answers."
};
const EventInfo RequestQuarantined {
    520, Severity::Warning, "request-quarantined",
    "A request took down two backend servers and is not run again.",
    "Tell the customer; the fingerprint is in the line."
};
const EventInfo CopyWaits {
    521, Severity::Info, "copy-waits",
    "Another copy of the same prompt was begun first; this one waits for its first token.", "None."
};
const EventInfo TrialUndecided {
    522, Severity::Warning, "trial-undecided",
    "The instances that decide which copy of a new prompt begins do not answer; it begins.",
    "Look why these instances are slow or cut off, if it repeats."
};
const EventInfo ServerUp { 600, Severity::Info, "server-up", "A backend server can be given work.",
                           "None." };
const EventInfo ServerLeaving { 601, Severity::Info, "server-leaving",
                                "A backend server is leaving and gets no new work.", "None." };
const EventInfo ServerLost { 602, Severity::Warning, "server-lost",
                             "A backend server does not answer.",
                             "Check it if it does not come back." };
const EventInfo ServerEjected {
    603, Severity::Warning, "server-ejected",
    "A backend server is much slower than its pool and is passed over for a while.",
    "Check it if this repeats."
};
const EventInfo ServerOrdered { 610, Severity::Info, "server-ordered",
                                "The steward ordered a start, a release, a load or a role.",
                                "None." };
const EventInfo OperatorChange { 700, Severity::Info, "operator-change",
                                 "An operator changed the settings.", "None." };
const EventInfo OperatorRefused { 701, Severity::Warning, "operator-refused",
                                  "An operator's change was refused.",
                                  "The line says why; nothing was applied." };
const EventInfo OperatorDrain { 702, Severity::Info, "operator-drain",
                                "An operator asked this instance to drain.", "None." };
const EventInfo OperatorChangeUnknown {
    703, Severity::Warning, "operator-change-unknown",
    "The answer to an operator's change was lost and could not be read back; it may be in.",
    "Send the change again with the id in the line: it takes effect once at most."
};

const EventInfo GatewayRequestEnded {
    900, Severity::Info, "gateway-request-ended",
    "A caller's attempt has its final answer, with the reason and what it took.",
    "None; follow the attempt id to its 901 lines."
};
const EventInfo GatewayAttemptEnded {
    901, Severity::Info, "gateway-attempt-ended",
    "A request was sent to one backend server; how that began and ended.",
    "None; many lost ones at one server point to that server or the path to it."
};
const EventInfo GatewayReady { 902, Severity::Info, "gateway-ready",
                               "Readiness changed: whether new connections are asked for.",
                               "None." };
const EventInfo QuotaRefused {
    903, Severity::Info, "quota-refused",
    "A request was refused because its customer's quota is used up at the moment.",
    "Raise the quota if the customer is to get more; free and rate are in the quota's unit."
};
const EventInfo StreamMoved { 904, Severity::Info, "stream-moved",
                              "A running stream was moved away from a server that is taken back.",
                              "None; an error says why it could not be moved." };
const EventInfo ServerEnded {
    905, Severity::Warning, "server-ended",
    "A backend server broke off and refuses connections. Requests that were in flight there are "
    "counted; one that was at three such servers is refused.",
    "If it repeats, look for 900 with ends-servers and tell the customer."
};
const EventInfo LoopLate {
    906, Severity::Warning, "loop-late",
    "Events waited for this long before the process came to them, at the worst within the last "
    "second, with what it handled meanwhile.",
    "If it lasts, give the instance more processor time or fewer callers."
};
const EventInfo RequestCut {
    907, Severity::Warning, "request-cut",
    "A request's connection was closed without its final answer, because the process ended.",
    "Look for 906 and 910 before it; if requests often last longer than the grace, raise it."
};
const EventInfo ShutdownRefuses {
    908, Severity::Info, "shutdown-refuses",
    "From now on a process that shuts down refuses new requests as not run.", "None."
};
const EventInfo StoreLost { 910, Severity::Warning, "store-lost",
                            "The platform's store does not answer; what is known stays in force.",
                            "Check the store and the path to it if this lasts." };
const EventInfo StoreRegained { 911, Severity::Info, "store-regained",
                                "The platform's store answers again.", "None." };
const EventInfo StoreRowFaulty {
    912, Severity::Error, "store-row-faulty",
    "A row can't be read and was passed over; the last good value stays in force.",
    "Mend the field that the line names."
};
const EventInfo ServerListed { 920, Severity::Info, "server-listed",
                               "The list of backend servers has a new or changed entry.", "None." };
const EventInfo ServerDelisted { 921, Severity::Info, "server-delisted",
                                 "A backend server is gone from the list and gets nothing new.",
                                 "None." };
const EventInfo ServerReadmitted {
    922, Severity::Info, "server-readmitted",
    "A backend server whose entry had gone is listed again, has stayed so, and gets work.", "None."
};
const EventInfo DutyLeaseTaken { 930, Severity::Info, "duty-lease-taken",
                                 "This instance acts on behalf of all from now on.", "None." };
const EventInfo DutyLeaseLost { 931, Severity::Info, "duty-lease-lost",
                                "This instance no longer acts on behalf of all.", "None." };
const EventInfo UsageReported { 932, Severity::Info, "usage-reported",
                                "The usage of one window was reported.", "None." };
const EventInfo UsageReportFailed { 933, Severity::Warning, "usage-report-failed",
                                    "A usage report was not taken; it is sent again unchanged.",
                                    "Check the platform's API if this lasts." };
const EventInfo FleetOrdered { 934, Severity::Info, "fleet-ordered",
                               "A number of backend servers was ordered.", "None." };
const EventInfo FleetOrderFailed { 935, Severity::Warning, "fleet-order-failed",
                                   "An order for backend servers was not taken.",
                                   "None if it says that none are available; it is tried again." };
const EventInfo GatewayPeerHeard { 940, Severity::Info, "gateway-peer-heard",
                                   "Another instance was heard for the first time or again.",
                                   "None." };
const EventInfo GatewayPeerSilent { 941, Severity::Warning, "gateway-peer-silent",
                                    "Another instance has not been heard for a while.",
                                    "Check the instance and the path to it if this lasts." };

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
    &StoreLost,
    &StoreRegained,
    &StoreRowFaulty,
    &ServerListed,
    &ServerDelisted,
    &ServerReadmitted,
    &DutyLeaseTaken,
    &DutyLeaseLost,
    &UsageReported,
    &UsageReportFailed,
    &FleetOrdered,
    &FleetOrderFailed,
    &GatewayPeerHeard,
    &GatewayPeerSilent,
};

} // namespace

std::span<const EventInfo *const> all()
{
    return AllEvents;
}

} // namespace snipestall::events
