#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace snipestall::standins {

/// KV cache of one prompt and of the part of its answer that existed at the time of the export.
struct ExportedKv
{
    std::uint32_t promptHash = 0;
    std::int64_t tokens = 0;
};

/// KV exports of one engine. The handle of an export is `<IP:PORT>/kv/<number>`; the store is keyed
/// by its path.
class KvStore
{
public:
    std::string put(const std::string &address, ExportedKv kv);
    [[nodiscard]] std::optional<ExportedKv> find(const std::string &path) const;

private:
    std::map<std::string, ExportedKv> m_exports;
};

} // namespace snipestall::standins
