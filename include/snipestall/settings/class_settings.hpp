#pragma once

#include <string>

namespace snipestall::settings {

/// One instance class that the cloud API offers in one data centre.
struct ClassSettings
{
    std::string dataCentre;
    std::string name;
    /// Whether the cloud provider may reclaim instances of this class.
    bool reclaimable = true;
    /// Price of one instance, in units of account per hour.
    double pricePerHour = 1.0;
    /// Expected reclaims of one instance per hour.
    double reclaimsPerHour = 0.0;
};

} // namespace snipestall::settings
