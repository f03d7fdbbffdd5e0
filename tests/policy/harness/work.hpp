#pragma once

#include <cstdint>
#include <vector>

namespace snipestall::policy::harness {

/// An attempt as a fake backend server receives it.
struct Work
{
    std::uint64_t id = 0;
    /// Number of tokens of the prompt and, for a resumed request, of the output so far.
    std::uint32_t prefillTokens = 0;
    std::uint32_t outputTokens = 0;
    std::vector<std::uint64_t> prefix {};
    bool kvImported = false;
    /// Whether the request crashes the server once its prompt has been prefilled.
    bool crashesServer = false;
};

} // namespace snipestall::policy::harness
