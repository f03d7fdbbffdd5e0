#pragma once

#include "snipestall/base/result.hpp"
#include "snipestall/gateway/gateway_settings.hpp"

#include <boost/asio/io_context.hpp>

#include <memory>

namespace snipestall::gateway {

/// One gateway process. It accepts requests of callers and sends them to backend servers.
class Gateway
{
public:
    /// Opens all listeners. The error Unavailable names the listener that could not be opened.
    static Result<std::unique_ptr<Gateway>> create(boost::asio::io_context &io,
                                                   GatewaySettings settings);
    ~Gateway();

    void start();
    /// Shuts down gracefully: reports that it is not ready, finishes the running requests and stops
    /// the loop.
    void drain();
    /// Takes over the bounds of changed settings. No restart is needed.
    void settingsChanged(const GatewaySettings &settings);

private:
    struct Parts;
    explicit Gateway(std::unique_ptr<Parts> parts);

    std::unique_ptr<Parts> m_parts;
};

} // namespace snipestall::gateway
