#pragma once

#include <cstdint>

namespace snipestall {

/// Seeded pseudo-random generator (SplitMix64, Steele et al. 2014). The same seed gives the same
/// sequence on every machine, which std::uniform_real_distribution does not guarantee.
class Random
{
public:
    explicit Random(std::uint64_t seed)
        : m_state(seed)
    { }

    /// Returns the next 64 random bits.
    std::uint64_t next();

    /// Uniform in [0, 1).
    double uniform();

    /// Uniform in [0, bound); 0 when bound is 0.
    std::uint64_t below(std::uint64_t bound);

    /// Exponentially distributed with the given mean.
    double exponential(double mean);

private:
    std::uint64_t m_state;
};

} // namespace snipestall
