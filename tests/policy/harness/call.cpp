#include "policy/harness/call.hpp"

namespace snipestall::policy::harness {

/// Patient work is in target when the whole answer is there by its deadline; all other work must
/// also meet the time to its first token and the mean time between tokens.
bool Call::inTarget() const
{
    if (outcome != Outcome::Answered || finished > deadline) {
        return false;
    }
    if (urgency == Urgency::Patient) {
        return true;
    }
    if (!firstToken || *firstToken - arrived > firstTokenTarget) {
        return false;
    }
    const auto gaps = outputTokens > 1 ? outputTokens - 1 : 1;
    return (finished - *firstToken) / gaps <= interTokenTarget;
}

} // namespace snipestall::policy::harness
