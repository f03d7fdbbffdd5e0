#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace snipestall::gateway {

/// What an instance says of itself in the table of instances.
struct InstanceRow
{
    std::string dataCentre;
    /// Where it listens for peers.
    std::string address;
    /// Processor time in thousandths of a core; 0 if it is not known.
    std::uint32_t milliCores = 0;
};

/// "DATA_CENTRE ADDRESS MILLI_CORES".
std::string encodeInstance(const InstanceRow &row);
/// Nothing for a text without an address; rows without the last field are read, too.
std::optional<InstanceRow> decodeInstance(const std::string &text);

} // namespace snipestall::gateway
