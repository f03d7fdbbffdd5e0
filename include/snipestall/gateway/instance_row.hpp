#pragma once

#include <optional>
#include <string>

namespace snipestall::gateway {

/// What an instance says of itself in the table of instances.
struct InstanceRow
{
    std::string dataCentre;
    /// Where it listens for peers.
    std::string address;
    /// Processor time in cores; 0 if it is not known.
    double capacity = 0;
};

/// "DATA_CENTRE ADDRESS CAPACITY".
std::string encodeInstance(const InstanceRow &row);
/// Nothing for a text without an address; rows without a capacity are read, too.
std::optional<InstanceRow> decodeInstance(const std::string &text);

} // namespace snipestall::gateway
