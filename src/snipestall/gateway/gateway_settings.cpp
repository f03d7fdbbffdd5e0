#include "snipestall/gateway/gateway_settings.hpp"

#include <algorithm>
#include <cmath>
#include <yaml-cpp/yaml.h>

#include <unistd.h>

namespace snipestall::gateway {

namespace {

using std::chrono::milliseconds;

/// Reads fields and collects all faults instead of stopping at the first.
class Reader
{
public:
    template<typename Value>
    Value required(const YAML::Node &parent, const std::string &name)
    {
        const YAML::Node node = parent[name];
        if (!node.IsDefined() || node.IsNull()) {
            fault(name + " is missing");
            return {};
        }
        return read<Value>(node, name, {});
    }

    template<typename Value>
    Value optional(const YAML::Node &parent, const std::string &name, Value fallback)
    {
        const YAML::Node node = parent[name];
        if (!node.IsDefined() || node.IsNull())
            return fallback;
        return read<Value>(node, name, fallback);
    }

    wire::Endpoint endpoint(const YAML::Node &parent, const std::string &name)
    {
        const auto text = required<std::string>(parent, name);
        const auto parsed = wire::Endpoint::parse(text);
        if (!parsed)
            fault(name + " '" + text + "' is not an address such as 10.0.0.1:8080");
        return parsed.value_or(wire::Endpoint {});
    }

    milliseconds millis(const YAML::Node &parent, const std::string &name, milliseconds fallback)
    {
        const auto value = optional(parent, name, static_cast<double>(fallback.count()));
        return milliseconds(static_cast<std::int64_t>(value));
    }

    milliseconds seconds(const YAML::Node &parent, const std::string &name, milliseconds fallback)
    {
        constexpr double MillisPerSecond = 1000;
        const auto value =
            optional(parent, name, static_cast<double>(fallback.count()) / MillisPerSecond);
        return milliseconds(static_cast<std::int64_t>(value * MillisPerSecond));
    }

    /// Returns a map inside another. If it is absent, the result is an empty map, whose fields then
    /// count as missing.
    static YAML::Node section(const YAML::Node &parent, const std::string &name)
    {
        const YAML::Node node = parent[name];
        return node.IsDefined() && node.IsMap() ? node : YAML::Node(YAML::NodeType::Map);
    }

    [[nodiscard]] const std::string &faults() const { return m_faults; }

private:
    template<typename Value>
    Value read(const YAML::Node &node, const std::string &name, Value fallback)
    {
        try {
            return node.as<Value>();
        } catch (const YAML::Exception &) {
            fault(name + " has the wrong type");
            return fallback;
        }
    }

    void fault(const std::string &text)
    {
        if (!m_faults.empty())
            m_faults += "; ";
        m_faults += text;
    }

    std::string m_faults;
};

Bounds readBounds(Reader &reader, const YAML::Node &node)
{
    Bounds bounds;
    bounds.drain = reader.millis(node, "drain_ms", bounds.drain);
    bounds.grace = reader.seconds(node, "grace_s", bounds.grace);
    bounds.contact = reader.millis(node, "contact_ms", bounds.contact);
    bounds.retryRatio = reader.optional(node, "retry_ratio", bounds.retryRatio);
    bounds.retryWindow = reader.seconds(node, "retry_window_s", bounds.retryWindow);
    bounds.retrySlack = reader.optional(node, "retry_slack", bounds.retrySlack);
    bounds.quotaWindow = reader.seconds(node, "quota_window_s", bounds.quotaWindow);
    bounds.quotaOverrun = reader.optional(node, "quota_overrun", bounds.quotaOverrun);
    bounds.quotaTolerance = reader.optional(node, "quota_tolerance", bounds.quotaTolerance);
    bounds.exposureShare = reader.optional(node, "exposure_share", bounds.exposureShare);
    bounds.exposureTolerance =
        reader.optional(node, "exposure_tolerance", bounds.exposureTolerance);
    bounds.lease = reader.millis(node, "lease_ms", bounds.lease);
    bounds.usageWindow = reader.seconds(node, "usage_window_s", bounds.usageWindow);
    return bounds;
}

Result<YAML::Node> load(std::string_view yaml)
{
    try {
        YAML::Node root = YAML::Load(std::string(yaml));
        if (!root.IsMap())
            return fail(ErrorKind::InvalidArgument,
                        "the settings are not a map; see docs/gateway.md");
        return root;
    } catch (const YAML::Exception &error) {
        return fail(ErrorKind::InvalidArgument,
                    std::string("the settings are not valid YAML: ") + error.what());
    }
}

} // namespace

std::size_t GatewaySettings::connectionBytes() const
{
    constexpr std::size_t BytesPerMegabyte = 1000000;
    /// What the process needs itself in the largest fleet, with room for its growth.
    constexpr std::size_t OwnBytes = 64 * BytesPerMegabyte;
    constexpr std::size_t LeastBytes = 8 * BytesPerMegabyte;
    const std::size_t memory = memoryMegabytes > 0
        ? memoryMegabytes * BytesPerMegabyte
        : static_cast<std::size_t>(sysconf(_SC_PHYS_PAGES))
            * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
    // The other half is for connections, the kernel's buffers and the allocator.
    return std::max(memory > OwnBytes ? (memory - OwnBytes) / 2 : 0, LeastBytes);
}

Result<GatewaySettings> GatewaySettings::parse(std::string_view yaml)
{
    const auto root = load(yaml);
    if (!root)
        return tl::unexpected<Error>(root.error());
    Reader reader;
    GatewaySettings settings;
    settings.instance = reader.required<std::string>(*root, "instance");
    settings.dataCentre = reader.required<std::string>(*root, "data_centre");
    settings.firstStart = reader.optional(*root, "first_start", false);
    settings.address = reader.required<std::string>(*root, "address");
    settings.callers = reader.endpoint(*root, "callers");
    settings.readiness = reader.endpoint(*root, "readiness");
    settings.peerPort = reader.required<std::uint16_t>(*root, "peer_port");
    settings.forwardPort = reader.optional<std::uint16_t>(*root, "forward_port", 0);
    settings.metricsPort = reader.required<std::uint16_t>(*root, "metrics_port");
    settings.store = reader.endpoint(*root, "store");
    settings.duties = reader.endpoint(*root, "duties");
    settings.serverHeartbeat =
        reader.millis(*root, "server_heartbeat_ms", settings.serverHeartbeat);
    settings.startWait = reader.millis(*root, "start_wait_ms", settings.startWait);
    const YAML::Node limits = Reader::section(*root, "limits");
    settings.fileDescriptors =
        reader.optional(limits, "file_descriptors", settings.fileDescriptors);
    settings.memoryMegabytes = reader.optional(limits, "memory_mb", settings.memoryMegabytes);
    settings.bodyTime = reader.seconds(limits, "body_s", settings.bodyTime);
    constexpr double MilliCoresPerCore = 1000;
    const double cores = reader.optional(limits, "processor_share", 0.0)
        * reader.optional(limits, "processor_cores", 1.0);
    settings.milliCores = static_cast<std::uint32_t>(std::lround(cores * MilliCoresPerCore));
    settings.refuseLate =
        reader.optional(Reader::section(*root, "overload"), "refuse_late", settings.refuseLate);
    settings.bounds = readBounds(reader, Reader::section(*root, "bounds"));
    if (!reader.faults().empty())
        return fail(ErrorKind::InvalidArgument,
                    "invalid settings: " + reader.faults() + "; see docs/gateway.md");
    return settings;
}

} // namespace snipestall::gateway
