#pragma once

#include "snipestall/platform/cloud_api.hpp"
#include "snipestall/platform/http_platform_options.hpp"
#include "snipestall/platform/instance_list.hpp"
#include "snipestall/platform/object_store.hpp"
#include "snipestall/platform/platform_counters.hpp"
#include "snipestall/platform/table_service.hpp"
#include "snipestall/wire/endpoint.hpp"

#include <boost/asio/io_context.hpp>

#include <memory>
#include <string>
#include <vector>

namespace snipestall {
class Clock;
}

namespace snipestall::platform {

/// Client of the platform's HTTP interface. A transaction that may have been sent before its call
/// failed fails with OutcomeUnknown or DeadlineExceeded. A transaction that can't have taken effect
/// and every read that the platform does not answer fail with Unavailable. The table, the objects
/// and the cloud each have their own circuit breaker: after repeated failures calls fail at once,
/// and the breaker admits one probe at a time.
///
///     auto platform = HttpPlatform::create(io, endpoint, clock);
///     auto rows = co_await platform->read(keys);
class HttpPlatform final : public TableService,
                           public ObjectStore,
                           public InstanceList,
                           public CloudApi
{
public:
    static std::unique_ptr<HttpPlatform> create(boost::asio::io_context &io,
                                                wire::Endpoint endpoint, const Clock &clock,
                                                HttpPlatformOptions options = {});
    ~HttpPlatform() override;

    wire::Task<Result<TransactionOutcome>> transact(Transaction transaction) override;
    wire::Task<Result<std::vector<Row>>> read(std::vector<RowKey> keys) override;
    wire::Task<Result<std::vector<Row>>> scan(std::string table, std::string prefix,
                                              std::string after, std::size_t limit) override;

    wire::Task<Result<void>> put(std::string name, std::string bytes) override;
    wire::Task<Result<std::string>> get(std::string name) override;

    wire::Task<Result<std::vector<ListedInstance>>> list(std::string dataCentre) override;

    wire::Task<Result<std::string>> start(StartOrder order) override;
    wire::Task<Result<void>> release(std::string instance, std::uint64_t fencingToken) override;

    /// False while the table's circuit breaker is open.
    [[nodiscard]] bool tableAvailable() const;
    [[nodiscard]] PlatformCounters counters() const;

private:
    struct State;
    explicit HttpPlatform(std::shared_ptr<State> state);

    std::shared_ptr<State> m_state;
};

} // namespace snipestall::platform
