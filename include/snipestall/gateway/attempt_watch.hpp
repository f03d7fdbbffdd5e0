#pragma once

#include "snipestall/base/clock.hpp"
#include "snipestall/serving/server_table.hpp"

#include <chrono>
#include <list>
#include <memory>

namespace snipestall::gateway {

class BackendCall;

/// Attempts that wait for their first byte; gives up those whose server seems to be gone.
class AttemptWatch
{
public:
    struct Entry
    {
        std::shared_ptr<BackendCall> call;
        serving::ServerStatePtr server;
        SteadyTime sentAt;
        std::chrono::duration<double> predicted { 0 };
    };
    using Ticket = std::list<Entry>::iterator;

    Ticket add(Entry entry) { return m_entries.insert(m_entries.end(), std::move(entry)); }
    void remove(Ticket ticket) { m_entries.erase(ticket); }
    /// To be called several times a second.
    void check(SteadyTime now);

private:
    std::list<Entry> m_entries;
};

} // namespace snipestall::gateway
