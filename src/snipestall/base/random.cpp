#include "snipestall/base/random.hpp"

#include <cmath>

namespace snipestall {

std::uint64_t Random::next()
{
    m_state += 0x9e3779b97f4a7c15ULL;
    std::uint64_t z = m_state;
    z = (z ^ (z >> 30U)) * 0xbf58476d1ce4e5b9ULL;
    z = (z ^ (z >> 27U)) * 0x94d049bb133111ebULL;
    return z ^ (z >> 31U);
}

double Random::uniform()
{
    constexpr double Scale = 1.0 / 9007199254740992.0; // 2^-53
    return static_cast<double>(next() >> 11U) * Scale;
}

std::uint64_t Random::below(std::uint64_t bound)
{
    return bound == 0 ? 0 : next() % bound;
}

double Random::exponential(double mean)
{
    return -mean * std::log1p(-uniform());
}

} // namespace snipestall
