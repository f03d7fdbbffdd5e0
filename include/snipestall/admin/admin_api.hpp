#pragma once

#include "snipestall/base/result.hpp"
#include "snipestall/wire/http_server.hpp"
#include "snipestall/wire/task.hpp"

#include <functional>
#include <memory>
#include <string>

namespace prometheus {
class Registry;
}
namespace snipestall {
class Clock;
}
namespace snipestall::peer {
class SettingsKeeper;
class SettingsStore;
} // namespace snipestall::peer

namespace snipestall::admin {

class StatusSource;

/// The operators' HTTP API. It needs an operator's bearer key for everything but `GET /metrics`:
///
///     GET  /settings                    newest settings, from the table or else as in force here
///     GET  /settings/versions/N         one version
///     GET  /settings/effective          values in force and their levels; ?data_centre= &customer=
///                                       &service=
///     POST /settings/changes            one change; answers 200, 400, 409, 422, 503 or 504
///     GET  /audit                       ?since= &path= &who= &before= &limit=
///     GET  /status                      this instance, its peers, backend servers and queues
///     POST /drain                       graceful shutdown of this instance
///     GET  /metrics                     for Prometheus
///
///     auto api = AdminApi::create(dependencies);
///     auto server = wire::HttpServer::create(io, endpoint, (*api)->handler());
class AdminApi
{
public:
    /// All referred to must outlive the API, which must outlive the server that uses its handler.
    struct Dependencies
    {
        peer::SettingsStore *store = nullptr;
        peer::SettingsKeeper *keeper = nullptr;
        const StatusSource *status = nullptr;
        const Clock *clock = nullptr;
        std::shared_ptr<prometheus::Registry> metrics;
        /// Begins a graceful shutdown and returns at once.
        std::function<void()> drain;
        /// SHA-256 of the key that is accepted while there are no settings at all; empty: none.
        std::string bootstrapKeyHash;
        /// Called before the metrics are written, to bring counters up to date; may be empty.
        std::function<void()> beforeMetrics {};
    };

    /// InvalidArgument if a dependency is missing or the bootstrap hash is no hash.
    static Result<std::unique_ptr<AdminApi>> create(Dependencies dependencies);
    ~AdminApi();

    [[nodiscard]] wire::HttpServer::Handler handler();

private:
    class Routes;
    explicit AdminApi(std::unique_ptr<Routes> routes);

    std::unique_ptr<Routes> m_routes;
};

} // namespace snipestall::admin
