#pragma once

#include "snipestall/wire/endpoint.hpp"

#include <cstdint>
#include <string>

namespace snipestall::harness {

/// Orders to one fault-injecting proxy; each throws std::runtime_error if the proxy refuses it.
class ProxyControl
{
public:
    explicit ProxyControl(wire::Endpoint control);

    /// A body of POST /faults, as in docs/design/standin-protocols.md.
    void set(const std::string &faults) const;
    void freeze() const { set(R"({"freeze":true})"); }
    /// Swallows bytes in both directions: a partition that neither side is told of.
    void drop() const { set(R"({"drop":"both"})"); }
    void refuse() const { set(R"({"refuse":true,"cut_all":true})"); }
    void cutAll() const { set(R"({"cut_all":true})"); }
    /// No fault is left. After a drop the connections have lost bytes, so they are cut.
    void heal() const;
    [[nodiscard]] std::int64_t counter(const std::string &name) const;

private:
    wire::Endpoint m_control;
};

} // namespace snipestall::harness
