#include "snipestall/gateway/backend_pool.hpp"

#include "snipestall/wire/socket_options.hpp"

#include <utility>

namespace snipestall::gateway {

namespace {

bool usable(BackendLink &link, SteadyTime now)
{
    return now < link.idleUntil && wire::isIdleAndOpen(link.stream.socket());
}

} // namespace

BackendLinkPtr BackendPool::take(const std::string &server, SteadyTime now)
{
    const auto found = m_idle.find(server);
    if (found == m_idle.end())
        return nullptr;
    auto &links = found->second;
    while (!links.empty()) {
        BackendLinkPtr link = std::move(links.back());
        links.pop_back();
        if (usable(*link, now))
            return link;
    }
    return nullptr;
}

void BackendPool::giveBack(const std::string &server, BackendLinkPtr link)
{
    auto &links = m_idle[server];
    if (links.size() >= MostIdlePerServer)
        return;
    link->stream.expires_never();
    links.push_back(std::move(link));
}

void BackendPool::prune(SteadyTime now)
{
    for (auto &[server, links] : m_idle)
        std::erase_if(links, [now](BackendLinkPtr &link) { return !usable(*link, now); });
    std::erase_if(m_idle, [](const auto &entry) { return entry.second.empty(); });
}

void BackendPool::drop(const std::string &server)
{
    m_idle.erase(server);
}

} // namespace snipestall::gateway
