#pragma once

namespace snipestall::settings {

enum class ServiceKind {
    /// A pool of backend servers that run a model and stream tokens.
    Model,
    /// A request/response service without a model.
    Plain,
};

} // namespace snipestall::settings
