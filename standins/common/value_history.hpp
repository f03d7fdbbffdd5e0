#pragma once

#include "snipestall/base/clock.hpp"

#include <chrono>
#include <deque>
#include <utility>

namespace snipestall::standins {

/// Keeps the recent states of a value, so that it can be read as it was at an earlier time.
template<typename T>
class ValueHistory
{
public:
    explicit ValueHistory(T first) { m_states.emplace_back(SteadyTime::min(), std::move(first)); }

    void set(SteadyTime now, T value)
    {
        m_states.emplace_back(now, std::move(value));
        while (m_states.size() > 1 && m_states[1].first < now - MaxLag)
            m_states.pop_front();
    }

    [[nodiscard]] const T &latest() const { return m_states.back().second; }

    /// The value that was current at `time`; the oldest kept one if `time` is earlier.
    [[nodiscard]] const T &at(SteadyTime time) const
    {
        auto state = m_states.rbegin();
        while (state + 1 != m_states.rend() && state->first > time)
            ++state;
        return state->second;
    }

private:
    /// States are kept for this long, so reads must not lag further behind.
    static constexpr std::chrono::minutes MaxLag { 2 };

    std::deque<std::pair<SteadyTime, T>> m_states;
};

} // namespace snipestall::standins
