#include "snipestall/serving/server_load.hpp"

namespace snipestall::serving {

ServerLoad &ServerLoad::operator+=(const ServerLoad &other)
{
    inFlight += other.inFlight;
    pendingTokens += other.pendingTokens;
    heldTokens += other.heldTokens;
    outcomes += other.outcomes;
    for (std::size_t i = 0; i < Bands; ++i) {
        waiting[i].count += other.waiting[i].count;
        waiting[i].tokens += other.waiting[i].tokens;
    }
    return *this;
}

ServerLoad &ServerLoad::operator-=(const ServerLoad &other)
{
    inFlight -= other.inFlight;
    pendingTokens -= other.pendingTokens;
    heldTokens -= other.heldTokens;
    outcomes -= other.outcomes;
    for (std::size_t i = 0; i < Bands; ++i) {
        waiting[i].count -= other.waiting[i].count;
        waiting[i].tokens -= other.waiting[i].tokens;
    }
    return *this;
}

} // namespace snipestall::serving
