#include "snipestall/policy/death_window.hpp"

#include <algorithm>
#include <chrono>
#include <cstddef>

namespace snipestall::policy {
namespace {

constexpr Duration Window = std::chrono::seconds(2);

/// Two deaths may come from one crashing request and its retry.
constexpr std::ptrdiff_t CommonCauseDeaths = 3;

constexpr std::size_t MaxRemembered = 16;

} // namespace

void DeathWindow::add(Time now, ServerHandle server)
{
    const auto same = [&](const auto &death) { return death.second == server; };
    if (std::any_of(m_deaths.begin(), m_deaths.end(), same))
        return;
    m_deaths.emplace_back(now, server);
    if (m_deaths.size() > MaxRemembered)
        m_deaths.pop_front();
}

bool DeathWindow::hasCommonCause(Time now) const
{
    const auto recent = [&](const auto &death) { return isRecent(now, death.first); };
    return std::count_if(m_deaths.begin(), m_deaths.end(), recent) >= CommonCauseDeaths;
}

bool DeathWindow::isRecent(Time now, Time death)
{
    return death + Window > now;
}

} // namespace snipestall::policy
