#pragma once

#include "snipestall/base/result.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace snipestall::load {

/// One attempt to run a chat call, as the engine recorded it.
struct LedgerAttempt
{
    /// Request ID.
    std::string request;
    /// Attempt ID.
    std::string attempt;
    /// Index of the first answer token that the attempt was asked for.
    std::int64_t from = 0;
    /// Answer tokens produced.
    std::int64_t produced = 0;
    /// Prompt tokens prefilled.
    std::int64_t prefilled = 0;
    /// How the attempt ended; "refused" means that it was not run.
    std::string ended;
    /// Time in milliseconds between the engine's reclaim notice and the arrival of the attempt;
    /// empty if there was no notice before.
    std::optional<std::int64_t> afterNoticeMs;
};

/// Number of times that one idempotency key, or one request without a key, took effect at a plain
/// service.
struct LedgerRun
{
    std::string key;
    std::string request;
    std::int64_t count = 0;
};

/// Attempts and runs that the backend servers themselves recorded.
class Ledger
{
public:
    /// Adds the body of GET /control/attempts or of GET /control/runs. InvalidArgument if it can't
    /// be parsed.
    Result<void> addBody(std::string_view json);
    /// Adds a file that an engine or a service wrote, one record a line. If several lines have the
    /// same attempt ID, the last one counts. NotFound if the file can't be opened, InvalidArgument
    /// if a line can't be parsed.
    Result<void> addFile(const std::string &path);

    /// Attempts by attempt ID.
    [[nodiscard]] const std::map<std::string, LedgerAttempt> &attempts() const
    {
        return m_attempts;
    }
    [[nodiscard]] const std::vector<LedgerRun> &runs() const { return m_runs; }

private:
    std::map<std::string, LedgerAttempt> m_attempts;
    std::vector<LedgerRun> m_runs;
};

} // namespace snipestall::load
