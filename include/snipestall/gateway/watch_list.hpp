#pragma once

#include <list>
#include <utility>

namespace snipestall::gateway {

/// List of entries that are checked several times a second until the code that added them removes
/// them.
template<typename Entry>
class WatchList
{
public:
    using Handle = typename std::list<Entry>::iterator;

    Handle add(Entry entry) { return m_entries.insert(m_entries.end(), std::move(entry)); }
    void remove(Handle handle) { m_entries.erase(handle); }

protected:
    [[nodiscard]] std::list<Entry> &entries() { return m_entries; }

private:
    std::list<Entry> m_entries;
};

} // namespace snipestall::gateway
