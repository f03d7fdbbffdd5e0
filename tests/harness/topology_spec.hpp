#pragma once

#include <string>
#include <vector>

namespace snipestall::harness {

/// An entry instance.
struct EntrySpec
{
    std::string name;
    std::string dataCentre;
};

/// A backend server: an engine if it has models, a plain service otherwise.
struct ServerSpec
{
    std::string name {};
    std::string dataCentre;
    std::string service;
    std::vector<std::string> models {};
    std::string instanceClass = "spot";
    /// Additional arguments of the stand-in, such as "--token_ms=5".
    std::vector<std::string> arguments {};
};

/// The processes of a test and the places of its proxies.
struct TopologySpec
{
    std::vector<EntrySpec> entries;
    std::vector<ServerSpec> servers;
    /// The settings tree as YAML. If it is empty, defaultSettings() makes one from this spec.
    std::string settings;
    /// API keys of an operator and a customer in the settings tree.
    std::string operatorKey = "test-operator-key";
    std::string customerKey = "test-customer-key";
    /// Puts a proxy `platform/<data centre>` between each data centre's entry instances and the
    /// platform.
    bool platformProxied = false;
    /// Puts a proxy `peers/<entry>` in front of each entry instance's listener for peers.
    bool peersProxied = false;
    /// Puts a proxy `link/<data centre>/<entry>` between each data centre and each entry instance
    /// of another one, so that a test can cut two data centres from each other and from nothing
    /// else.
    bool linksProxied = false;
    /// Puts a proxy `callers/<entry>` in front of each entry instance's listener for callers.
    bool callersProxied = false;
    /// Puts a proxy `server/<name>` in front of each backend server.
    bool serversProxied = false;
    std::vector<std::string> platformArguments;

    [[nodiscard]] std::vector<std::string> dataCentres() const;
    /// Two data centres `north` and `south` with two entry instances each; three engines in all,
    /// and a ledger service in each data centre.
    static TopologySpec small();
};

} // namespace snipestall::harness
