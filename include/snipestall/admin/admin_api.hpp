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

/// The operators' HTTP API. Every route but `GET /metrics` requires an operator's bearer key:
///
///     GET  /settings                    newest settings from the table; if it does not answer,
///                                       those in force on this instance
///     GET  /settings/versions/N         one version
///     GET  /settings/effective          values in force and the level that sets each;
///                                       ?data_centre= &customer= &service=
///     POST /settings/changes            applies one change; answers 200, 400, 409, 422, 503 or 504
///     GET  /audit                       audit trail; ?since= &path= &who= &before= &limit=
///     GET  /status                      this instance, its peers, backend servers and queues
///     POST /drain                       starts a graceful shutdown of this instance
///     GET  /metrics                     metrics in Prometheus' text format
///
///     auto api = AdminApi::create(dependencies);
///     auto server = wire::HttpServer::create(io, endpoint, (*api)->handler());
class AdminApi
{
public:
    /// What the API uses. Every object referred to must outlive the API, and the API must outlive
    /// the server that uses its handler.
    struct Dependencies
    {
        peer::SettingsStore *store = nullptr;
        peer::SettingsKeeper *keeper = nullptr;
        const StatusSource *status = nullptr;
        const Clock *clock = nullptr;
        std::shared_ptr<prometheus::Registry> metrics;
        /// Starts a graceful shutdown and returns without waiting for its end.
        std::function<void()> drain;
        /// SHA-256 of the key that is accepted while no settings exist, as 64 lower-case hex
        /// digits. Empty: no such key.
        std::string bootstrapKeyHash;
        /// Called before each answer to `GET /metrics`, to update counters; may be empty.
        std::function<void()> beforeMetrics {};
    };

    /// Fails with InvalidArgument if a required dependency is missing or `bootstrapKeyHash` is not
    /// a SHA-256 hash.
    static Result<std::unique_ptr<AdminApi>> create(Dependencies dependencies);
    ~AdminApi();

    /// Handles the requests of an HttpServer.
    [[nodiscard]] wire::HttpServer::Handler handler();

private:
    class Routes;
    explicit AdminApi(std::unique_ptr<Routes> routes);

    std::unique_ptr<Routes> m_routes;
};

} // namespace snipestall::admin
