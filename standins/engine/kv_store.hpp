#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace snipestall::standins {

/// KV cache of one prompt and the part of its answer that was there at the export.
struct ExportedKv
{
    std::uint32_t promptHash = 0;
    std::int64_t tokens = 0;
};

/// Exports of one engine, by the number in their handle `<IP:PORT>/kv/<number>`.
class KvStore
{
public:
    std::string put(const std::string &address, ExportedKv kv);
    [[nodiscard]] std::optional<ExportedKv> find(const std::string &path) const;

private:
    std::map<std::string, ExportedKv> m_exports;
};

} // namespace snipestall::standins
