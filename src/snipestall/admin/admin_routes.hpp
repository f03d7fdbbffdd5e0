#pragma once

#include "snipestall/admin/admin_api.hpp"
#include "snipestall/wire/http_request.hpp"
#include "snipestall/wire/http_response.hpp"

#include "operator_auth.hpp"

#include <memory>
#include <string>

namespace snipestall::peer {
struct AuditRecord;
struct ChangeRefusal;
} // namespace snipestall::peer

namespace snipestall::admin {

class Metrics;

/// An authenticated request.
struct Call
{
    const wire::HttpRequest &request;
    /// Name of the operator whose key the request carries.
    std::string who;
};

/// Implements the routes of AdminApi.
class AdminApi::Routes
{
public:
    using Answer = wire::Task<wire::HttpResponse>;

    explicit Routes(Dependencies dependencies);
    ~Routes();

    /// Never throws: an unexpected exception is logged and answered with 500.
    Answer answer(const wire::HttpRequest &request);

private:
    using Handler = Answer (Routes::*)(const Call &);
    struct Route;
    static const Route *findRoute(const wire::HttpRequest &request);

    Answer dispatch(const wire::HttpRequest &request);
    Answer getSettings(const Call &call);
    Answer getVersion(const Call &call);
    Answer getEffective(const Call &call);
    Answer postChange(const Call &call);
    Answer getAudit(const Call &call);
    Answer getStatus(const Call &call);
    Answer postDrain(const Call &call);

    wire::HttpResponse metrics();
    wire::Task<wire::HttpResponse> refuseChange(std::string who, std::string changeId,
                                                std::uint64_t baseVersion,
                                                peer::ChangeRefusal refused);

    Dependencies m_dependencies;
    OperatorAuth m_auth;
    std::unique_ptr<Metrics> m_metrics;
};

} // namespace snipestall::admin
