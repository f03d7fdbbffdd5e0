#pragma once

#include "snipestall/base/clock.hpp"

#include <chrono>
#include <deque>
#include <utility>

namespace snipestall::standins {

/// A value that is read as it was some time ago.
template<typename T>
class Lagged
{
public:
    explicit Lagged(T first) { m_states.emplace_back(SteadyTime::min(), std::move(first)); }

    void set(SteadyTime now, T value)
    {
        m_states.emplace_back(now, std::move(value));
        while (m_states.size() > 1 && m_states[1].first < now - Longest)
            m_states.pop_front();
    }

    [[nodiscard]] const T &latest() const { return m_states.back().second; }

    [[nodiscard]] const T &at(SteadyTime time) const
    {
        auto state = m_states.rbegin();
        while (state + 1 != m_states.rend() && state->first > time)
            ++state;
        return state->second;
    }

private:
    /// No lag is longer than this.
    static constexpr std::chrono::minutes Longest { 2 };

    std::deque<std::pair<SteadyTime, T>> m_states;
};

} // namespace snipestall::standins
