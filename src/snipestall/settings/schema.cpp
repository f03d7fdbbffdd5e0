#include "snipestall/settings/schema.hpp"

#include <algorithm>
#include <array>

namespace snipestall::settings {
namespace {

constexpr double Hour = 3600.0 * 1000;
constexpr double Day = 24 * Hour;

constexpr std::array Places {
    PlaceInfo { Place::Fleet, "fleet", "What holds for every customer in every data centre." },
    PlaceInfo { Place::DataCentre, "data_centres/*",
                "One data centre; overrides the fleet for work that is served there." },
    PlaceInfo { Place::DataCentreService, "data_centres/*/services/*",
                "One service in one data centre; overrides services/*." },
    PlaceInfo { Place::DataCentreClass, "data_centres/*/classes/*",
                "An instance class that may be started in this data centre; overrides classes/*." },
    PlaceInfo { Place::Customer, "customers/*",
                "One customer; overrides the data centre and the fleet." },
    PlaceInfo { Place::CustomerShare, "customers/*/shares/*",
                "Part of this customer's limits in one data centre; overrides the data centre's "
                "share." },
    PlaceInfo { Place::CustomerService, "customers/*/services/*",
                "A service that this customer may use; overrides the customer, the data centre and "
                "the fleet. A service that isn't listed here is not visible to the customer." },
    PlaceInfo { Place::Service, "services/*", "One service, the same for all its customers." },
    PlaceInfo { Place::Class, "classes/*", "One instance class, wherever it is offered." },
    PlaceInfo { Place::Operator, "operators/*", "One operator of this fleet." },
};

constexpr PlaceSet only(Place place)
{
    return static_cast<PlaceSet>(place);
}

constexpr PlaceSet AllLevels =
    Place::Fleet | Place::DataCentre | Place::Customer | Place::CustomerService;
constexpr PlaceSet LimitLevels = Place::Fleet | Place::Customer | Place::CustomerService;
constexpr PlaceSet ServiceLevels = Place::Service | Place::DataCentreService;
constexpr PlaceSet ClassLevels = Place::Class | Place::DataCentreClass;

constexpr std::array Settings {
    SettingInfo { "latency/first_token", ValueType::Duration, "time", 1, Hour, "1200ms", AllLevels,
                  "Target from a request's arrival to the first byte of its answer." },
    SettingInfo { "latency/inter_token", ValueType::Duration, "time", 1, 60'000, "35ms", AllLevels,
                  "Target between two tokens of one stream." },
    SettingInfo { "latency/deadline", ValueType::Duration, "time", 1, Day, "60s", AllLevels,
                  "Deadline of a request that names none." },
    SettingInfo { "weight", ValueType::Number, "", 0, 1000, "1", AllLevels,
                  "Share of contended capacity relative to other customers, counted in tokens.", "",
                  false },
    SettingInfo { "cost_preference", ValueType::Number, "", 0, 1, "0.5", AllLevels,
                  "0 places for latency alone, 1 for cost alone." },
    SettingInfo { "limits/requests_per_second", ValueType::Number, "requests/s", 0, 1e6, "100",
                  LimitLevels,
                  "Accepted requests for one service over all data centres; divided by the shares. "
                  "0 allows none." },
    SettingInfo { "limits/tokens_per_second", ValueType::Number, "tokens/s", 0, 1e9, "100000",
                  LimitLevels,
                  "Prompt and output tokens for one service over all data centres; divided by the "
                  "shares. 0 allows none." },
    SettingInfo { "limits/concurrency", ValueType::Count, "requests", 0, 1e6, "64", LimitLevels,
                  "Requests in progress for one service over all data centres; divided by the "
                  "shares in whole requests. 0 allows none." },
    SettingInfo { "share", ValueType::Number, "", 0, 1, "", only(Place::DataCentre),
                  "Part of every customer's limits that this data centre may use. Shares sum to at "
                  "most 1. Required." },
    SettingInfo { "", ValueType::Number, "", 0, 1, "", only(Place::CustomerShare),
                  "Part of this customer's limits that the named data centre may use, in place of "
                  "the data centre's own share. A customer's shares sum to at most 1." },
    SettingInfo { "key_hashes", ValueType::KeyHashes, "", 0, 16, "[]",
                  Place::Customer | Place::Operator,
                  "SHA-256 of each bearer key that is accepted, so that keys can be rotated "
                  "without a gap. Make a key and its hash with: snipestallctl new-key" },
    SettingInfo { "kind", ValueType::Choice, "", 0, 0, "model", only(Place::Service),
                  "model: a pool of engines that stream tokens. plain: a request/answer service.",
                  "model|plain" },
    SettingInfo { "models", ValueType::Names, "", 0, 256, "[]", only(Place::Service),
                  "Names that callers may give as the model. At least one for kind model, none "
                  "for kind plain; no name in two services." },
    SettingInfo { "idempotent", ValueType::Flag, "", 0, 0, "true", only(Place::Service),
                  "Calls may be repeated unless the caller says otherwise. With false a call is "
                  "sent at most once." },
    SettingInfo { "checks_fencing", ValueType::Flag, "", 0, 0, "false", ServiceLevels,
                  "Its backend servers refuse orders that carry an old fencing number." },
    SettingInfo { "slots_per_server", ValueType::Count, "requests", 1, 4096, "8", ServiceLevels,
                  "Requests that one backend server runs side by side, before adaptation." },
    SettingInfo { "urgent_reserve", ValueType::Number, "", 0, 0.5, "0.15", ServiceLevels,
                  "Part of the pool's slots that is kept for short urgent work." },
    SettingInfo { "short_tokens", ValueType::Count, "tokens", 1, 1e6, "256", ServiceLevels,
                  "A request of at most this many prompt and output tokens counts as short." },
    SettingInfo { "min_servers", ValueType::Count, "backend servers", 0, 100'000, "1",
                  ServiceLevels, "Backend servers kept running in each data centre." },
    SettingInfo { "max_servers", ValueType::Count, "backend servers", 0, 100'000, "64",
                  ServiceLevels, "Backend servers allowed at once in each data centre." },
    SettingInfo { "start_time", ValueType::Duration, "time", 1, Day, "30s", ServiceLevels,
                  "Usual time from an order to start a backend server until it can be given "
                  "work." },
    SettingInfo { "reclaimable", ValueType::Flag, "", 0, 0, "true", ClassLevels,
                  "The cloud may take instances of this class back." },
    SettingInfo { "price_per_hour", ValueType::Number, "units/h", 0, 1e6, "1", ClassLevels,
                  "Price of one instance." },
    SettingInfo { "reclaims_per_hour", ValueType::Number, "1/h", 0, 3600, "0", ClassLevels,
                  "Expected reclaims of one instance." },
};

} // namespace

std::span<const PlaceInfo> places()
{
    return Places;
}

const PlaceInfo &info(Place place)
{
    return *std::find_if(Places.begin(), Places.end(),
                         [&](const PlaceInfo &candidate) { return candidate.place == place; });
}

std::span<const SettingInfo> schema()
{
    return Settings;
}

const SettingInfo *findSetting(Place place, std::string_view key)
{
    const auto it = std::find_if(Settings.begin(), Settings.end(), [&](const SettingInfo &row) {
        return row.key == key && contains(row.places, place);
    });
    return it == Settings.end() ? nullptr : &*it;
}

std::string patternOf(const SettingInfo &setting, Place place)
{
    std::string pattern(info(place).pattern);
    if (!setting.key.empty())
        pattern.append("/").append(setting.key);
    return pattern;
}

} // namespace snipestall::settings
