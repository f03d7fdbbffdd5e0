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
    /// Port on the same address at which the instance takes requests of others; 0 if it takes none.
    std::uint16_t forwardPort = 0;
};

/// Encodes an entry as "DATA_CENTRE ADDRESS MILLI_CORES FORWARD_PORT".
std::string encodeInstance(const InstanceRow &row);
/// Decodes an entry. Returns nothing for a text without an address. The last fields may be missing.
std::optional<InstanceRow> decodeInstance(const std::string &text);

} // namespace snipestall::gateway
