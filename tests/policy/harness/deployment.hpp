#pragma once

#include "policy/harness/request_kind.hpp"
#include "policy/harness/server_model.hpp"

#include "snipestall/base/result.hpp"
#include "snipestall/policy/time.hpp"
#include "snipestall/settings/effective_settings.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace snipestall::policy::harness {

/// A group of servers of one service, data centre and instance class.
struct ServerGroup
{
    std::string service;
    std::string dataCentre;
    std::string instanceClass;
    std::uint32_t count = 0;
};

struct CustomerShare
{
    std::string name;
    double weight = 1;
    /// Share of the load.
    double demand = 1;
};

/// The size, load and settings of the installation of one provider.
struct Deployment
{
    std::string name;
    std::vector<std::string> dataCentres;
    std::uint32_t entriesPerDataCentre = 2;
    Duration insideDelay {};
    Duration betweenDelay {};
    std::string modelService;
    std::string plainService;
    ServerModel modelServer;
    ServerModel plainServer;
    std::vector<ServerGroup> groups;
    std::vector<CustomerShare> customers;
    std::vector<RequestKind> kinds;
    RequestKind plainKind;
    settings::EffectiveSettings settings;
    /// Number of model servers that a load level of 1 uses up.
    std::uint32_t nominalServers = 0;

    [[nodiscard]] const ServerModel &model(std::string_view service) const;
    [[nodiscard]] std::uint32_t servers(std::string_view service) const;
};

/// Makes the deployment "karadeniz" or "midlands"; any other name is NotFound.
Result<Deployment> makeDeployment(std::string_view name);

} // namespace snipestall::policy::harness
