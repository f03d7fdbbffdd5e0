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

/// One authenticated request.
struct Call
{
    const wire::HttpRequest &request;
    std::string who;
};

/// What AdminApi answers, route by route.
class AdminApi::Routes
{
public:
    using Answer = wire::Task<wire::HttpResponse>;

    explicit Routes(Dependencies dependencies);
    ~Routes();

    /// Never throws: what goes wrong unforeseen is logged and answered with 500.
    Answer answer(const wire::HttpRequest &request);

private:
    using Member = Answer (Routes::*)(const Call &);
    struct Route;
    static const Route *find(const wire::HttpRequest &request);

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

    Dependencies m_uses;
    OperatorAuth m_auth;
    std::unique_ptr<Metrics> m_gauges;
};

} // namespace snipestall::admin
