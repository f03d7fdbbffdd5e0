#pragma once

#include "snipestall/entry/final_answer.hpp"

namespace snipestall::policy {
struct Refuse;
}

namespace snipestall::entry {

class Request;

/// The final answer that a refusal of the policy means, by what is known of the request's attempts:
/// to the caller, or, of a request that a peer forwarded here, to that peer.
FinalAnswer refusal(const Request &request, const policy::Refuse &command);

} // namespace snipestall::entry
