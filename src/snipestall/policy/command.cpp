#include "snipestall/policy/command.hpp"

namespace snipestall::policy {

std::string_view toString(RefusalReason reason)
{
    switch (reason) {
    case RefusalReason::UnknownService:
        return "unknown-service";
    case RefusalReason::RateLimit:
        return "rate-limit";
    case RefusalReason::TokenLimit:
        return "token-limit";
    case RefusalReason::ConcurrencyLimit:
        return "concurrency-limit";
    case RefusalReason::Late:
        return "late";
    case RefusalReason::QueueFull:
        return "queue-full";
    case RefusalReason::NoCapacity:
        return "no-capacity";
    case RefusalReason::Leaving:
        return "leaving";
    case RefusalReason::RetriesExhausted:
        return "retries-exhausted";
    case RefusalReason::Quarantined:
        return "quarantined";
    case RefusalReason::Expired:
        return "expired";
    }
    return "no-capacity";
}

} // namespace snipestall::policy
