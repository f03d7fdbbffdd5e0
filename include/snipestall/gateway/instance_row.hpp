#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace snipestall::gateway {

/// Entry of an instance in the table of instances.
struct InstanceRow
{
    std::string dataCentre;
    /// Address at which the instance listens for peers, as `HOST:PORT`.
    std::string address;
    /// Processor time in thousandths of a core; 0 if it is not known.
    std::uint32_t milliCores = 0;
};

/// Encodes an entry as "DATA_CENTRE ADDRESS MILLI_CORES".
std::string encodeInstance(const InstanceRow &row);
/// Decodes an entry. Returns nothing for a text without an address. The last field may be missing.
std::optional<InstanceRow> decodeInstance(const std::string &text);

} // namespace snipestall::gateway
