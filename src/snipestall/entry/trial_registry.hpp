#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_map>

namespace snipestall::entry {

/// The first attempt of a prompt that no engine is known to have answered.
struct Trial
{
    std::uint64_t fingerprint = 0;
    std::string request;
    /// The instance that accepted the request.
    std::string home;
};

/// Decides which of several copies of the same prompt starts first.
///
/// A caller may send one prompt to several instances at once. If the prompt crashes every engine
/// that starts it, each instance would start its own copy before the first crash is known anywhere,
/// and one server would be lost for each copy: three where two are allowed. Crash reports cannot
/// prevent that, however fast they are, because there is no crash to report yet. Therefore one
/// instance, the same for all copies, lets one copy start. The other copies wait for its first
/// token. An engine that crashes on the prompt does not produce that token, and then the waiting
/// copies crash no server.
class TrialRegistry
{
public:
    using Time = std::chrono::steady_clock::time_point;

    /// Returns whether the request may start. For the first copy it returns true on every call.
    bool mayStart(const Trial &trial, Time now);
    /// Ends the trial of a copy that has ended or has produced its first token.
    void endTrial(std::uint64_t fingerprint, const std::string &request);
    /// Ends all trials of an instance that was lost.
    void removeHome(const std::string &home);

private:
    /// Age at which a trial expires. An engine that sends nothing for 5 s is abandoned, and a
    /// second attempt follows on another engine, which first has to be drained for it. A trial that
    /// has not ended after both was lost with its home.
    static constexpr std::chrono::seconds MaxTrialAge { 20 };
    /// Bounds the memory to about 1 MB under a flood of new prompts. Prompts beyond the limit start
    /// without a trial.
    static constexpr std::size_t MaxTrials = 4096;

    struct ActiveTrial
    {
        std::string request;
        std::string home;
        Time at;
    };

    std::unordered_map<std::uint64_t, ActiveTrial> m_active;
};

} // namespace snipestall::entry
