#pragma once

#include "snipestall/base/result.hpp"
#include "snipestall/gateway/gateway_settings.hpp"

#include <boost/asio/io_context.hpp>

#include <memory>

namespace snipestall::gateway {

/// One gateway process: callers on one side, backend servers on the other.
class Gateway
{
public:
    /// Opens all listeners; Unavailable names the one that could not be opened.
    static Result<std::unique_ptr<Gateway>> create(boost::asio::io_context &io,
                                                   GatewaySettings settings);
    ~Gateway();

    void start();
    /// Graceful shutdown: says that it is not ready, finishes what runs and stops the loop.
    void drain();
    /// The settings file has changed; only a fault in it is reported, nothing needs a restart.
    void settingsChanged(const GatewaySettings &settings);

private:
    struct Parts;
    explicit Gateway(std::unique_ptr<Parts> parts);

    std::unique_ptr<Parts> m_parts;
};

} // namespace snipestall::gateway
