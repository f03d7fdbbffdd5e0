#pragma once

#include "snipestall/entry/final_answer.hpp"

namespace snipestall::policy {
struct Refuse;
}

namespace snipestall::entry {

class Request;

/// Builds the final answer for a refusal by the policy, depending on whether an attempt of the
/// request may have run. The answer is for the caller, or for the peer if a peer forwarded the
/// request.
FinalAnswer refusal(const Request &request, const policy::Refuse &command);

} // namespace snipestall::entry
