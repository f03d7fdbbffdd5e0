#pragma once

#include "snipestall/base/clock.hpp"
#include "snipestall/serving/server_rest.hpp"

#include <chrono>
#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace snipestall::serving {

/// What is told to other instances of a backend server that leaves.
struct LeavingReport
{
    /// Key of the server.
    std::string server;
    /// Time since the server said so.
    std::chrono::milliseconds age { 0 };
};

/// What backend servers have said about themselves, by incarnation (the key of the server).
///
/// Failure: the entry of a server lapses, or the list is read anew, and what the server has said is
/// lost with its state; requests then reach a server that wants none. So this outlives the entry:
/// a rest ends by itself, and leaving ends with the incarnation.
class ServerNotices
{
public:
    /// Returns the rest of a server; null if it has asked for none or that is over.
    [[nodiscard]] std::shared_ptr<ServerRest> rest(const std::string &server) const;
    /// The server asks for a rest up to `until`. Returns its rest.
    std::shared_ptr<ServerRest> extendRest(const std::string &server, SteadyTime until,
                                           SteadyTime now);
    /// Forgets the rests that are over, and returns their servers.
    std::vector<std::string> endRests(SteadyTime now);
    /// Number of rests that are not over.
    [[nodiscard]] std::size_t rests() const { return m_rests.size(); }

    /// How it is known that a server leaves. All instances read the entry by themselves.
    enum class LeavingSource { Answer, Entry };
    /// The server leaves, as it has said at `saidAt`. Returns whether that is new.
    bool setLeaving(const std::string &server, LeavingSource source, SteadyTime saidAt);
    [[nodiscard]] bool isLeaving(const std::string &server) const;
    /// When the server has said that it leaves, as far as this instance knows; null if it has not.
    [[nodiscard]] std::optional<SteadyTime> leavingSince(const std::string &server) const;
    /// What other instances can't read in the list, newest first; a limited number.
    [[nodiscard]] std::vector<LeavingReport> leavingReports(SteadyTime now) const;

    /// The incarnation has ended.
    void forget(const std::string &server);

    /// Other instances have been told within this time.
    static constexpr std::chrono::seconds ReportedFor { 10 };

private:
    /// Maximum number of leaving servers that are remembered; the oldest are dropped first.
    static constexpr std::size_t MaxLeaving = 20000;
    /// Bounds the size of a message.
    static constexpr std::size_t MaxReports = 50;

    struct Leaving
    {
        LeavingSource source = LeavingSource::Answer;
        SteadyTime saidAt;
    };

    void dropOldest();

    std::unordered_map<std::string, std::shared_ptr<ServerRest>> m_rests;
    std::unordered_map<std::string, Leaving> m_leaving;
};

} // namespace snipestall::serving
