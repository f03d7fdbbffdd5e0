#pragma once

#include "snipestall/base/clock.hpp"

#include <chrono>
#include <cstddef>
#include <optional>
#include <vector>

namespace snipestall::serving {

/// Measures the time between the events of one stream, by their arrival.
class StreamPace
{
public:
    /// An event arrived.
    void event(SteadyTime now);
    /// The median pause; nothing while too few events have arrived.
    [[nodiscard]] std::optional<std::chrono::duration<double>> median() const;

private:
    /// Fewer pauses depend more on a single long prompt that runs beside the stream than on the
    /// server.
    static constexpr std::size_t MinPauses = 6;
    /// Enough for a median; further pauses of a long stream add nothing.
    static constexpr std::size_t MaxPauses = 40;

    std::optional<SteadyTime> m_last;
    std::vector<std::chrono::duration<double>> m_pauses;
};

} // namespace snipestall::serving
