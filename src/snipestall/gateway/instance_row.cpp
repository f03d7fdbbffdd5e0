#include "snipestall/gateway/instance_row.hpp"

#include <sstream>

namespace snipestall::gateway {

std::string encodeInstance(const InstanceRow &row)
{
    std::ostringstream text;
    text << row.dataCentre << ' ' << row.address << ' ' << row.milliCores << ' ' << row.forwardPort;
    return text.str();
}

std::optional<InstanceRow> decodeInstance(const std::string &text)
{
    std::istringstream fields(text);
    InstanceRow row;
    if (!(fields >> row.dataCentre >> row.address))
        return std::nullopt;
    if (!(fields >> row.milliCores))
        row.milliCores = 0;
    if (!(fields >> row.forwardPort))
        row.forwardPort = 0;
    return row;
}

} // namespace snipestall::gateway
