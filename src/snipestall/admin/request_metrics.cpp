#include "snipestall/admin/request_metrics.hpp"

#include "snipestall/admin/metrics.hpp"
#include "snipestall/entry/request.hpp"
#include "snipestall/peer/settings_keeper.hpp"
#include "snipestall/settings/effective_settings.hpp"

#include <array>

namespace snipestall::admin {
namespace {

struct OutcomePair
{
    entry::Outcome from;
    RequestOutcome to;
};

constexpr std::array Outcomes {
    OutcomePair { entry::Outcome::Completed, RequestOutcome::Completed },
    OutcomePair { entry::Outcome::NotRun, RequestOutcome::NotRun },
    OutcomePair { entry::Outcome::Unknown, RequestOutcome::Unknown },
    OutcomePair { entry::Outcome::Failed, RequestOutcome::Failed },
};

RequestOutcome outcomeOf(entry::Outcome outcome)
{
    for (const OutcomePair &pair : Outcomes) {
        if (pair.from == outcome)
            return pair.to;
    }
    return RequestOutcome::Failed;
}

} // namespace

std::shared_ptr<RequestMetrics> RequestMetrics::create(Metrics &metrics,
                                                       const peer::SettingsKeeper &settings)
{
    return std::shared_ptr<RequestMetrics>(new RequestMetrics(metrics, settings));
}

RequestMetrics::RequestMetrics(Metrics &metrics, const peer::SettingsKeeper &settings)
    : m_metrics(metrics)
    , m_settings(settings)
{ }

RequestClass RequestMetrics::classOf(const entry::RequestSpec &spec) const
{
    if (spec.kind == settings::ServiceKind::Plain)
        return RequestClass::Plain;
    const auto view = m_settings.effective();
    const settings::ServiceSettings *service = view ? view->service(spec.service) : nullptr;
    const std::uint32_t shortTokens =
        (service ? *service : settings::ServiceSettings()).shortTokens;
    return spec.promptTokens + spec.maxTokens <= shortTokens ? RequestClass::Short
                                                             : RequestClass::Long;
}

void RequestMetrics::arrived(const entry::RequestSpec &spec)
{
    m_metrics.requestArrived(classOf(spec));
}

void RequestMetrics::firstPieceProduced(const entry::RequestSpec &spec,
                                        std::chrono::nanoseconds sinceArrival)
{
    const RequestClass requestClass = classOf(spec);
    m_metrics.observeFirstToken(requestClass, sinceArrival);
    m_metrics.addTokensGenerated(requestClass, 1);
}

void RequestMetrics::nextPieceProduced(const entry::RequestSpec &spec,
                                       std::chrono::nanoseconds sinceLastPiece)
{
    const RequestClass requestClass = classOf(spec);
    m_metrics.observeInterToken(requestClass, sinceLastPiece);
    m_metrics.addTokensGenerated(requestClass, 1);
}

void RequestMetrics::ended(const entry::RequestSpec &spec, const entry::FinalAnswer &answer)
{
    const RequestClass requestClass = classOf(spec);
    m_metrics.requestEnded(requestClass, outcomeOf(answer.outcome));
    if (std::chrono::steady_clock::now() > spec.deadline)
        m_metrics.deadlineMissed(requestClass);
}

} // namespace snipestall::admin
