#include "harness/ledger_files.hpp"

#include <filesystem>
#include <stdexcept>

namespace snipestall::harness {

load::Ledger readLedgerFiles(const std::vector<std::string> &files)
{
    load::Ledger ledger;
    for (const auto &file : files) {
        if (!std::filesystem::exists(file))
            continue;
        const auto added = ledger.addFile(file);
        if (!added)
            throw std::runtime_error(added.error().message);
    }
    return ledger;
}

std::vector<load::LedgerAttempt> attemptsOf(const load::Ledger &ledger, const std::string &request)
{
    std::vector<load::LedgerAttempt> attempts;
    for (const auto &[id, attempt] : ledger.attempts()) {
        if (attempt.request == request && attempt.ended != "refused")
            attempts.push_back(attempt);
    }
    return attempts;
}

std::int64_t runsOf(const load::Ledger &ledger, const std::string &keyOrRequest)
{
    std::int64_t count = 0;
    for (const auto &run : ledger.runs()) {
        const std::string &name = run.key.empty() ? run.request : run.key;
        count += name == keyOrRequest ? run.count : 0;
    }
    return count;
}

} // namespace snipestall::harness
