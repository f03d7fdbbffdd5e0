#pragma once

#include "snipestall/base/result.hpp"
#include "snipestall/gateway/gateway_settings.hpp"

#include <boost/asio/io_context.hpp>

#include <memory>

namespace snipestall::gateway {

/// One gateway process. It accepts requests of callers and sends them to backend servers.
///
/// The tasks of its loop refer to the gateway and write to it when they are destroyed. So they are
/// destroyed before it, or the process ends without destroying either.
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
    /// Takes over the bounds of a changed settings file. Only `grace` (until drain() is called) and
    /// `contact`, which are read when they are used, take effect. The server table, the quotas, the
    /// retries, the usage windows, the expiry window and the duty lease copied their bounds when
    /// they were constructed, so all other bounds need a restart, as do all other settings. A
    /// faulty file doesn't get here: the caller logs its faults and the earlier bounds stay.
    void settingsChanged(const GatewaySettings &settings);

private:
    struct Parts;
    explicit Gateway(std::unique_ptr<Parts> parts);

    std::unique_ptr<Parts> m_parts;
};

} // namespace snipestall::gateway
