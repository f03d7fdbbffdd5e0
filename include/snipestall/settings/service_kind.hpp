#pragma once

namespace snipestall::settings {

enum class ServiceKind {
    /// A pool of model engines that stream tokens.
    Model,
    /// A plain request/answer service.
    Plain,
};

} // namespace snipestall::settings
