#pragma once

#include <cstdint>
#include <vector>

namespace snipestall::policy::harness {

/// One attempt as a fake backend server sees it.
struct Work
{
    std::uint64_t id = 0;
    /// Prompt and, when resumed, the output so far.
    std::uint32_t prefillTokens = 0;
    std::uint32_t outputTokens = 0;
    std::vector<std::uint64_t> prefix {};
    bool kvImported = false;
    /// Takes the server down once its prompt has been read.
    bool crashesServer = false;
};

} // namespace snipestall::policy::harness
