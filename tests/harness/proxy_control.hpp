#pragma once

#include "snipestall/wire/endpoint.hpp"

#include <cstdint>
#include <string>

namespace snipestall::harness {

/// Controls one fault-injecting proxy. Calls that change faults throw std::runtime_error if the
/// proxy refuses the change.
class ProxyControl
{
public:
    explicit ProxyControl(wire::Endpoint control);

    /// Sends `faults` as the body of POST /faults; see docs/design/standin-protocols.md.
    void set(const std::string &faults) const;
    void freeze() const { set(R"({"freeze":true})"); }
    /// Drops bytes in both directions without closing connections, as a network partition does.
    void drop() const { set(R"({"drop":"both"})"); }
    void refuse() const { set(R"({"refuse":true,"cut_all":true})"); }
    void cutAll() const { set(R"({"cut_all":true})"); }
    /// Removes all faults. Connections are closed because they may have lost bytes in a drop.
    void heal() const;
    [[nodiscard]] std::int64_t counter(const std::string &name) const;

private:
    wire::Endpoint m_control;
};

} // namespace snipestall::harness
