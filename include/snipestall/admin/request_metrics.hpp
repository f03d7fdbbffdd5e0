#pragma once

#include "snipestall/entry/request_observer.hpp"

#include <memory>

namespace snipestall::peer {
class SettingsKeeper;
}

namespace snipestall::admin {

class Metrics;
enum class RequestClass : int;

/// Updates the metrics of an instance's requests: their number, outcomes and delays.
///
///     node.requests().observe(RequestMetrics::create(*metrics, node.settings()));
class RequestMetrics final : public entry::RequestObserver
{
public:
    /// `metrics` and `settings` must outlive the observed requests.
    static std::shared_ptr<RequestMetrics> create(Metrics &metrics,
                                                  const peer::SettingsKeeper &settings);

    void arrived(const entry::RequestSpec &spec) override;
    void firstPieceProduced(const entry::RequestSpec &spec,
                            std::chrono::nanoseconds sinceArrival) override;
    void nextPieceProduced(const entry::RequestSpec &spec,
                           std::chrono::nanoseconds sinceLastPiece) override;
    void ended(const entry::RequestSpec &spec, const entry::FinalAnswer &answer) override;

private:
    RequestMetrics(Metrics &metrics, const peer::SettingsKeeper &settings);
    [[nodiscard]] RequestClass classOf(const entry::RequestSpec &spec) const;

    Metrics &m_metrics;
    const peer::SettingsKeeper &m_settings;
};

} // namespace snipestall::admin
