#pragma once

#include "snipestall/base/result.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace snipestall::load {

/// One attempt as an engine recorded it.
struct LedgerAttempt
{
    std::string request;
    std::string attempt;
    std::int64_t from = 0;
    std::int64_t produced = 0;
    std::int64_t prefilled = 0;
    std::string ended;
    std::optional<std::int64_t> afterNoticeMs;
};

/// How often one key or request took effect at a plain service.
struct LedgerRun
{
    std::string key;
    std::string request;
    std::int64_t count = 0;
};

/// What the backend servers themselves say was run.
class Ledger
{
public:
    /// Body of GET /control/attempts or of GET /control/runs.
    Result<void> addBody(std::string_view json);
    /// Lines that engines and services wrote to their files; of an attempt the last line counts.
    Result<void> addFile(const std::string &path);

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
