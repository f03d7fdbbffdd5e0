#pragma once

#include <string>
#include <vector>

namespace snipestall::harness {

struct EntrySpec
{
    std::string name;
    std::string dataCentre;
};

/// An engine if it has models, a plain service otherwise.
struct ServerSpec
{
    std::string name {};
    std::string dataCentre;
    std::string service;
    std::vector<std::string> models {};
    std::string instanceClass = "spot";
    /// More arguments for the stand-in, such as "--token_ms=5".
    std::vector<std::string> arguments {};
};

/// What runs in a test, and where proxies stand.
struct TopologySpec
{
    std::vector<EntrySpec> entries;
    std::vector<ServerSpec> servers;
    /// The settings tree; empty: one made from the rest, see defaultSettings().
    std::string settings;
    /// Keys of an operator and a customer of that tree.
    std::string operatorKey = "test-operator-key";
    std::string customerKey = "test-customer-key";
    /// A proxy `platform/<data centre>` between each data centre's entry instances and the
    /// platform.
    bool platformProxied = false;
    /// A proxy `peers/<entry>` in front of each entry instance's listener for peers.
    bool peersProxied = false;
    /// A proxy `link/<data centre>/<entry>` on the way from each data centre to each entry instance
    /// of another one, so that two data centres can be cut from each other alone.
    bool linksProxied = false;
    /// A proxy `callers/<entry>` in front of each entry instance's listener for callers.
    bool callersProxied = false;
    /// A proxy `server/<name>` in front of each backend server.
    bool serversProxied = false;
    std::vector<std::string> platformArguments;

    [[nodiscard]] std::vector<std::string> dataCentres() const;
    /// Two data centres `north` and `south` with two entry instances each, three engines and a
    /// ledger service in each.
    static TopologySpec small();
};

} // namespace snipestall::harness
