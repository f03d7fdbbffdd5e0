#pragma once

#include "snipestall/base/clock.hpp"
#include "snipestall/serving/answered_parts.hpp"
#include "snipestall/serving/part_report.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace snipestall::serving {

/// Blocks parts of prompts that crash the servers that begin to answer requests with them.
///
/// Load: different requests have one part in common, which crashes each server that begins to write
/// an answer on it. They come at any instance, among many requests that share all their other
/// parts. Harm: servers end one after the other, with all other work on them, and no request comes
/// twice, so that CrashWatch can't know it.
///
/// Evidence against a part is that it was in a request at a server that ended before the answer had
/// really begun. Evidence for it is a whole answer to any request with it, which makes all earlier
/// ends irrelevant. A part that is left with three ends is the cause, unless other parts have as
/// many: those are taken that have longest not been in an answer, and of these the ones that fewest
/// requests have. If that leaves several with the same ends, requests that have all of them are
/// refused, and others tell by their answers, or further ends, which part is the cause. Ends that a
/// blocked part explains no longer count against other parts. Instances exchange ends and answers,
/// and a part with three ends is suspected, and requests with it wait, until all have had time to
/// say what they know.
class PartCrashWatch
{
public:
    enum class Verdict {
        Allowed,
        /// Whether the part is blocked is known within SettleTime.
        Suspected,
        Blocked,
    };
    enum class ChangeKind {
        Blocked,
        Allowed,
        /// Requests with this part and the others of its group are refused.
        Grouped,
    };
    /// What was decided on a part, for the log.
    struct Change
    {
        PartName name;
        ChangeKind kind = ChangeKind::Allowed;
        std::vector<std::string> servers;
    };

    /// Time within which the reports of all instances that know of a part have arrived: several
    /// intervals of the exchange, over the hops between instances of different hubs and back.
    static constexpr std::chrono::milliseconds SettleTime { 1000 };
    /// Time within which requests with some parts of a group, but not all, have been answered if
    /// there are any. Then all parts of the group are blocked.
    static constexpr std::chrono::seconds GroupTime { 10 };
    /// Time after which a blocked part may be tried once more.
    static constexpr std::chrono::seconds TrialAfter { 60 };

    /// A request with these parts was answered in full.
    void answered(const PromptParts &parts, SteadyTime now);
    /// A server ended at `at` while a request with these parts was in flight, before its answer had
    /// really begun.
    void serverEnded(const PromptParts &parts, const std::string &server, SteadyTime at,
                     SteadyTime now);
    /// Decides on the parts that are due.
    void update(SteadyTime now);
    [[nodiscard]] Verdict verdict(const PromptParts &parts, SteadyTime now);
    /// Whether the server was ended by a blocked part, so that its end says nothing of other
    /// requests.
    [[nodiscard]] bool explains(const std::string &server) const;

    void receive(const PartReport &report, SteadyTime now);
    /// What has to be told to the other instances: all that is blocked and, of the rest, what has
    /// changed recently. `all`: whatever is known, for an instance that has just started.
    [[nodiscard]] std::vector<PartReport> reports(bool all, SteadyTime now) const;

    /// Whether this process knows what was blocked before it started.
    [[nodiscard]] bool known() const { return m_known; }
    /// Another instance that knows has reported.
    void learned() { m_known = true; }
    /// Takes over the row of the store.
    void rowRead(const std::vector<StoredPart> &row, SteadyTime now);
    /// Whether the row lacks a blocked part, or has one that is allowed again.
    [[nodiscard]] bool mustStore() const;
    /// Returns the row as it should be. A part that is due for its trial is marked as tried by
    /// `process`.
    [[nodiscard]] std::vector<StoredPart> updated(std::vector<StoredPart> row,
                                                  const std::string &process, SteadyTime now);
    [[nodiscard]] bool anyBlocked() const;
    [[nodiscard]] std::size_t blockedParts() const;

    /// A request was refused that could be tried. Returns true if it may now be sent as the trial
    /// of its blocked part.
    [[nodiscard]] bool takeTrial(const PromptParts &parts, SteadyTime now);
    /// Whether a trial is due and asked for.
    [[nodiscard]] bool trialDue(SteadyTime now) const;
    /// The store has accepted that `process`, which is this one, tries a part.
    void trialsGranted(const std::vector<StoredPart> &row, const std::string &process,
                       SteadyTime now);

    /// Returns what was decided since the last call.
    [[nodiscard]] std::vector<Change> takeChanges();

private:
    static constexpr std::size_t BlockThreshold = 3;
    static constexpr std::size_t MaxSuspects = 1024;
    static constexpr std::size_t MaxEnds = 32;
    /// Bounds the row and the reports.
    static constexpr std::size_t MaxBlocked = 64;
    /// Bound what a report takes: a rack that ends has many suspects, of which few matter.
    static constexpr std::size_t MaxSuspectsTold = 32;
    static constexpr std::size_t MaxEndsTold = 4;
    /// Each change is included in several exchanges with the peers.
    static constexpr std::chrono::seconds ReportPeriod { 3 };
    /// A part that was in an answer is kept so long, so that reports that are under way meet it.
    static constexpr std::chrono::seconds ClearedKept { 10 };
    static constexpr std::chrono::hours SuspectKept { 1 };
    /// A request for which a trial was granted comes within this time, or the trial is lost.
    static constexpr std::chrono::minutes TrialValid { 10 };

    struct Suspect
    {
        PartName name;
        std::map<std::string, SteadyTime> ends;
        /// Time of the last whole answer; the beginning of time if none is known.
        SteadyTime answered = SteadyTime::min();
        /// How often requests with the part asked for a verdict.
        std::uint64_t asked = 0;
        /// Ends that count.
        std::size_t count = 0;
        /// Time since which enough ends count.
        std::optional<SteadyTime> reachedAt;
        SteadyTime changedAt;
        bool blocked = false;
        /// Number of its group in m_groupSizes, from 1 on; 0 if it is in none.
        std::size_t group = 0;
        /// The log says that it is in a group.
        bool groupLogged = false;
        SteadyTime blockedAt;
        SteadyTime lastAsked;
        bool stored = false;
        bool tried = false;
        bool trialWanted = false;
        std::optional<SteadyTime> trialUntil;

        [[nodiscard]] SteadyTime lastEnd() const;
        [[nodiscard]] bool cleared() const { return answered > lastEnd(); }
    };

    /// Returns the suspect of a part, adding it if needed; null if there is no room for it.
    Suspect *findOrAdd(const PartName &name, std::uint64_t key, SteadyTime now);
    [[nodiscard]] bool makeRoom();
    static bool addEnd(Suspect &suspect, const std::string &server, SteadyTime at);
    /// Takes over the time of a whole answer. Returns whether that changes anything.
    static bool setAnswered(Suspect &suspect, SteadyTime at);
    void noteChange(Suspect &suspect, SteadyTime now);
    void block(Suspect &suspect, SteadyTime now);
    void allowIfCleared(Suspect &suspect);
    void allow(Suspect &suspect);
    void limitBlocked();
    void recount(SteadyTime now);
    void countEnds(Suspect &suspect) const;
    void dissolveGroups();
    /// Decides on the parts that have the most ends, if they are due. Returns whether there were
    /// any.
    bool decideOnStrongest(SteadyTime now);
    /// Decides on parts with the same ends.
    void decideOn(std::span<Suspect *const> alike, SteadyTime now);
    [[nodiscard]] std::vector<Suspect *> strongest();
    /// Servers whose ends count against the part.
    [[nodiscard]] std::vector<std::string> countedServers(const Suspect &suspect) const;
    void noteDecision(Suspect &suspect, ChangeKind kind);
    [[nodiscard]] PartReport reportOf(const Suspect &suspect, bool whole, SteadyTime now) const;

    AnsweredParts m_answered;
    std::unordered_map<std::uint64_t, Suspect> m_suspects;
    /// Servers that were ended by blocked parts, or by one part of a group.
    std::unordered_set<std::string> m_explained;
    /// Numbers of parts in each group of parts that nothing tells apart.
    std::vector<std::size_t> m_groupSizes;
    std::vector<Change> m_changes;
    /// Whether the counts have to be determined again.
    bool m_stale = false;
    /// Time at which the next part is due to be decided on.
    std::optional<SteadyTime> m_decideAt;
    bool m_known = false;
};

} // namespace snipestall::serving
