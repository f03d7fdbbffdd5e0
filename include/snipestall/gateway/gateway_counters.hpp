#pragma once

#include <cstdint>

namespace snipestall::gateway {

/// Totals since the process started.
struct GatewayCounters
{
    std::uint64_t requests = 0;
    std::uint64_t answered = 0;
    /// Requests that were refused without being run.
    std::uint64_t refused = 0;
    /// Those of the refused requests that would have been late at every server.
    std::uint64_t overloadRefused = 0;
    /// Requests that were refused while they arrived, because there was no memory for them.
    std::uint64_t memoryRefused = 0;
    std::uint64_t failed = 0;
    std::uint64_t callersGone = 0;
    std::uint64_t attempts = 0;
    /// Attempts beyond the first of their request, and those that the limit on them refused.
    std::uint64_t repeats = 0;
    std::uint64_t repeatsRefused = 0;
    /// Attempts whose server was silent for too long, and those of them that were replaced.
    std::uint64_t stalled = 0;
    std::uint64_t stalledReplaced = 0;
    /// Servers that could not be reached or that broke off an answer.
    std::uint64_t serverLosses = 0;
    /// Attempts through another instance, because this one reached no backend server.
    std::uint64_t forwarded = 0;
    /// Streams that callers took up: those that went on, those whose origin was not known, and
    /// those for which no server of their version was left.
    std::uint64_t resumed = 0;
    std::uint64_t resumesUnknown = 0;
    std::uint64_t resumesWithoutServer = 0;
    /// Those that went on by a record that only the store had.
    std::uint64_t resumesFromStore = 0;
    /// Writes of the records of begun streams into the store, and those that failed.
    std::uint64_t streamGroupsWritten = 0;
    std::uint64_t streamGroupsFailed = 0;
    /// Changes of tables that were too large for a report and were fetched from another instance.
    std::uint64_t changesFetched = 0;
};

} // namespace snipestall::gateway
