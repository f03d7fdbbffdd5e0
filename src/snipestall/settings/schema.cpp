#include "snipestall/settings/schema.hpp"

#include <algorithm>
#include <array>

namespace snipestall::settings {
namespace {

constexpr double Hour = 3600.0 * 1000;
constexpr double Day = 24 * Hour;

constexpr std::array Scopes {
    ScopeInfo { Scope::Fleet, "fleet", "Settings for every customer in every data centre." },
    ScopeInfo { Scope::DataCentre, "data_centres/*",
                "One data centre; overrides the fleet for requests that are served there." },
    ScopeInfo { Scope::DataCentreService, "data_centres/*/services/*",
                "One service in one data centre; overrides services/*." },
    ScopeInfo { Scope::DataCentreClass, "data_centres/*/classes/*",
                "An instance class that may be started in this data centre; overrides classes/*." },
    ScopeInfo { Scope::Customer, "customers/*",
                "One customer; overrides the data centre and the fleet." },
    ScopeInfo {
        Scope::CustomerShare, "customers/*/shares/*",
        "Fraction of this customer's limits in one data centre; overrides the data centre's "
        "share." },
    ScopeInfo { Scope::CustomerService, "customers/*/services/*",
                "A service that this customer may use; overrides the customer, the data centre and "
                "the fleet. A service that isn't listed here is not visible to the customer." },
    ScopeInfo { Scope::Service, "services/*", "One service, the same for all its customers." },
    ScopeInfo { Scope::Class, "classes/*", "One instance class, wherever it is offered." },
    ScopeInfo { Scope::Operator, "operators/*", "One operator of this fleet." },
};

constexpr ScopeSet setOf(Scope scope)
{
    return static_cast<ScopeSet>(scope);
}

constexpr ScopeSet AllLevels =
    Scope::Fleet | Scope::DataCentre | Scope::Customer | Scope::CustomerService;
constexpr ScopeSet LimitLevels = Scope::Fleet | Scope::Customer | Scope::CustomerService;
constexpr ScopeSet ServiceLevels = Scope::Service | Scope::DataCentreService;
constexpr ScopeSet ClassLevels = Scope::Class | Scope::DataCentreClass;

constexpr std::array Settings {
    SettingInfo { "latency/first_token", ValueType::Duration, "time", 1, Hour, "1200ms", AllLevels,
                  "Target time from a request's arrival to the first byte of its response." },
    SettingInfo { "latency/inter_token", ValueType::Duration, "time", 1, 60'000, "35ms", AllLevels,
                  "Target time between two tokens of one stream." },
    SettingInfo { "latency/deadline", ValueType::Duration, "time", 1, Day, "60s", AllLevels,
                  "Deadline of a request that does not specify one." },
    SettingInfo { "weight", ValueType::Number, "", 0, 1000, "1", AllLevels,
                  "Share of contended capacity relative to other customers, counted in tokens.", "",
                  false },
    SettingInfo {
        "cost_preference", ValueType::Number, "", 0, 1, "0.5", AllLevels,
        "Weight of cost against latency in placement: 0 considers latency alone, 1 cost alone." },
    SettingInfo { "limits/requests_per_second", ValueType::Number, "requests/s", 0, 1e6, "100",
                  LimitLevels,
                  "Accepted requests for one service over all data centres; divided among them by "
                  "their shares. "
                  "0 allows none." },
    SettingInfo {
        "limits/tokens_per_second", ValueType::Number, "tokens/s", 0, 1e9, "100000", LimitLevels,
        "Prompt and output tokens for one service over all data centres; divided among them "
        "by their shares. 0 allows none." },
    SettingInfo {
        "limits/concurrency", ValueType::Count, "requests", 0, 1e6, "64", LimitLevels,
        "Requests in progress for one service over all data centres; divided among them by "
        "their shares in whole requests. 0 allows none." },
    SettingInfo {
        "share", ValueType::Number, "", 0, 1, "", setOf(Scope::DataCentre),
        "Fraction of every customer's limits that this data centre may use. Shares sum to at "
        "most 1. Required." },
    SettingInfo {
        "", ValueType::Number, "", 0, 1, "", setOf(Scope::CustomerShare),
        "Fraction of this customer's limits that the named data centre may use, instead of "
        "the data centre's own share. A customer's shares sum to at most 1." },
    SettingInfo {
        "key_hashes", ValueType::KeyHashes, "", 0, 16, "[]", Scope::Customer | Scope::Operator,
        "SHA-256 of each bearer key that is accepted. There may be several, so that keys can "
        "be rotated without interruption. Generate a key and its hash with: snipestallctl "
        "new-key" },
    SettingInfo { "kind", ValueType::Choice, "", 0, 0, "model", setOf(Scope::Service),
                  "model: a pool of backend servers that run a model and stream tokens. plain: a "
                  "request/response service.",
                  "model|plain" },
    SettingInfo { "models", ValueType::Names, "", 0, 256, "[]", setOf(Scope::Service),
                  "Names that callers may give as the model. At least one for kind model, none "
                  "for kind plain; no name in two services." },
    SettingInfo {
        "idempotent", ValueType::Flag, "", 0, 0, "true", setOf(Scope::Service),
        "Whether calls may be repeated unless the caller specifies otherwise. If false, a "
        "call is sent at most once." },
    SettingInfo {
        "checks_fencing", ValueType::Flag, "", 0, 0, "false", ServiceLevels,
        "Whether the backend servers reject orders that carry an outdated fencing token." },
    SettingInfo {
        "slots_per_server", ValueType::Count, "requests", 1, 4096, "8", ServiceLevels,
        "Requests that one backend server runs concurrently, before adaptation at run time." },
    SettingInfo { "urgent_reserve", ValueType::Number, "", 0, 0.5, "0.15", ServiceLevels,
                  "Fraction of the pool's slots that is reserved for short urgent requests." },
    SettingInfo { "short_tokens", ValueType::Count, "tokens", 1, 1e6, "256", ServiceLevels,
                  "A request of at most this many prompt and output tokens counts as short." },
    SettingInfo { "min_servers", ValueType::Count, "backend servers", 0, 100'000, "1",
                  ServiceLevels, "Backend servers kept running in each data centre." },
    SettingInfo { "max_servers", ValueType::Count, "backend servers", 0, 100'000, "64",
                  ServiceLevels, "Backend servers allowed at once in each data centre." },
    SettingInfo { "start_time", ValueType::Duration, "time", 1, Day, "30s", ServiceLevels,
                  "Usual time from an order to start a backend server until the server accepts "
                  "requests." },
    SettingInfo { "reclaimable", ValueType::Flag, "", 0, 0, "true", ClassLevels,
                  "Whether the cloud provider may reclaim instances of this class." },
    SettingInfo { "price_per_hour", ValueType::Number, "units/h", 0, 1e6, "1", ClassLevels,
                  "Price of one instance." },
    SettingInfo { "reclaims_per_hour", ValueType::Number, "1/h", 0, 3600, "0", ClassLevels,
                  "Expected reclaims of one instance." },
};

} // namespace

std::span<const ScopeInfo> scopes()
{
    return Scopes;
}

const ScopeInfo &scopeInfo(Scope scope)
{
    return *std::find_if(Scopes.begin(), Scopes.end(),
                         [&](const ScopeInfo &candidate) { return candidate.scope == scope; });
}

std::span<const SettingInfo> schema()
{
    return Settings;
}

const SettingInfo *findSetting(Scope scope, std::string_view key)
{
    const auto it = std::find_if(Settings.begin(), Settings.end(), [&](const SettingInfo &row) {
        return row.key == key && contains(row.scopes, scope);
    });
    return it == Settings.end() ? nullptr : &*it;
}

std::string patternOf(const SettingInfo &setting, Scope scope)
{
    std::string pattern(scopeInfo(scope).pattern);
    if (!setting.key.empty())
        pattern.append("/").append(setting.key);
    return pattern;
}

} // namespace snipestall::settings
