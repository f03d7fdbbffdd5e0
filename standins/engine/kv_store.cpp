#include "engine/kv_store.hpp"

namespace snipestall::standins {

std::string KvStore::put(const std::string &address, ExportedKv kv)
{
    const std::string path = "/kv/" + std::to_string(m_exports.size() + 1);
    m_exports[path] = kv;
    return address + path;
}

std::optional<ExportedKv> KvStore::find(const std::string &path) const
{
    const auto found = m_exports.find(path);
    if (found == m_exports.end())
        return std::nullopt;
    return found->second;
}

} // namespace snipestall::standins
