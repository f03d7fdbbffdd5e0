#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_map>

namespace snipestall::entry {

/// The first try of a prompt that no engine is known to have answered.
struct Trial
{
    std::uint64_t fingerprint = 0;
    std::string request;
    /// The instance that accepted the request.
    std::string home;
};

/// Decides which of several copies of one prompt is begun first.
///
/// Load: a caller sends one prompt at several instances at once. Failure: the prompt crashes every
/// engine that begins it, and each instance begins its own copy before the first death is known
/// anywhere. It shows as a server lost for each copy, three where two are allowed. Crash reports
/// can't prevent that, however fast: there is nothing to report yet. So one instance, the same for
/// all copies, lets one of them begin; the others wait for its first token, which an engine that
/// dies of the prompt doesn't produce, and cost no server if it does not come.
class TrialBook
{
public:
    using Time = std::chrono::steady_clock::time_point;

    /// Whether the request may begin. True for the copy that came first, each time it asks.
    bool mayBegin(const Trial &trial, Time now);
    /// The copy has ended, or has had its first token.
    void over(std::uint64_t fingerprint, const std::string &request);
    /// What an instance had begun ends with it.
    void homeLost(const std::string &home);

private:
    /// An engine that is silent for 5 s is given up; a second try follows on another one that is
    /// emptied for it first. What is not over by then was lost with its home.
    static constexpr std::chrono::seconds Longest { 20 };
    /// A flood of new prompts: what is not in the book begins, as without it. Some 1 MB.
    static constexpr std::size_t MostTrials = 4096;

    struct Begun
    {
        std::string request;
        std::string home;
        Time at;
    };

    std::unordered_map<std::uint64_t, Begun> m_begun;
};

} // namespace snipestall::entry
