#pragma once

#include <string>

namespace snipestall::settings {

/// One instance class that the cloud API sells in one data centre.
struct ClassSettings
{
    std::string dataCentre;
    std::string name;
    bool reclaimable = true;
    /// Price in units of account per instance-hour.
    double pricePerHour = 1.0;
    /// Expected reclaims per instance-hour.
    double reclaimsPerHour = 0.0;
};

} // namespace snipestall::settings
