#include "harness/proxy_control.hpp"

#include "harness/http_call.hpp"

#include <stdexcept>

namespace snipestall::harness {

ProxyControl::ProxyControl(wire::Endpoint control)
    : m_control(std::move(control))
{ }

void ProxyControl::set(const std::string &faults) const
{
    const auto response = httpPost(m_control, "/faults", faults);
    if (!response || response->status != 204)
        throw std::runtime_error("the proxy refused " + faults);
}

void ProxyControl::heal() const
{
    set(R"({"delay_ms":0,"drop":"none","freeze":false,"refuse":false,"cut_all":true,)"
        R"("cut_after_bytes_to_target":-1,"cut_after_bytes_to_client":-1})");
}

std::int64_t ProxyControl::counter(const std::string &name) const
{
    return numberOf(httpGetObject(m_control, "/counters"), name);
}

} // namespace snipestall::harness
