#include "policy/harness/call.hpp"

namespace snipestall::policy::harness {

/// A patient call is in target when it has its whole answer by its deadline. Every other call must
/// also meet the targets for the time to its first token and for the mean time between tokens.
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
