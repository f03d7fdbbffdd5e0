#include "snipestall/serving/stream_pace.hpp"

#include <algorithm>

namespace snipestall::serving {

void StreamPace::event(SteadyTime now)
{
    if (m_last && m_pauses.size() < MaxPauses)
        m_pauses.emplace_back(now - *m_last);
    m_last = now;
}

std::optional<std::chrono::duration<double>> StreamPace::median() const
{
    if (m_pauses.size() < MinPauses)
        return std::nullopt;
    std::vector<std::chrono::duration<double>> pauses = m_pauses;
    const auto middle = pauses.begin() + static_cast<std::ptrdiff_t>(pauses.size() / 2);
    std::nth_element(pauses.begin(), middle, pauses.end());
    return *middle;
}

} // namespace snipestall::serving
