#include "snipestall/base/log.hpp"

#include "line_writer.hpp"

#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>
#include <easylogging++.h>

#include <array>
#include <chrono>
#include <ctime>
#include <iomanip>
#include <sstream>
#include <unistd.h>

INITIALIZE_EASYLOGGINGPP

namespace snipestall {

namespace {

struct LogState
{
    LogFormat format = LogFormat::Text;
    Severity minimum = Severity::Info;
};

/// Exists until the process exits; its destructor writes the queued lines.
LineWriter &writer()
{
    static LineWriter instance(STDOUT_FILENO);
    return instance;
}

/// Passes each line to the writer thread, so that logging never blocks the calling thread.
class QueueDispatch final : public el::LogDispatchCallback
{
protected:
    void handle(const el::LogDispatchData *data) override
    {
        std::string line = data->logMessage()->logger()->logBuilder()->build(
            data->logMessage(), data->dispatchAction() == el::base::DispatchAction::NormalLog);
        while (!line.empty() && line.back() == '\n')
            line.pop_back();
        writer().write(std::move(line));
    }
};

LogState &state()
{
    static LogState instance;
    return instance;
}

constexpr std::array<std::string_view, 4> SeverityNames { "debug", "info", "warning", "error" };

std::string_view severityName(Severity severity)
{
    return SeverityNames.at(static_cast<std::size_t>(severity));
}

/// Returns the current UTC time with milliseconds in the format of RFC 3339.
std::string wallTime()
{
    using namespace std::chrono;
    const auto now = system_clock::now();
    const std::time_t seconds = system_clock::to_time_t(now);
    const auto rest = duration_cast<milliseconds>(now.time_since_epoch()) % 1s;
    std::tm utc {};
    gmtime_r(&seconds, &utc);
    std::ostringstream text;
    text << std::put_time(&utc, "%FT%T") << '.' << std::setfill('0') << std::setw(3) << rest.count()
         << 'Z';
    return text.str();
}

std::string asJson(const EventInfo &event, std::initializer_list<LogField> fields)
{
    boost::json::object line;
    line["time"] = wallTime();
    line["severity"] = severityName(event.severity);
    line["event"] = event.number;
    line["name"] = event.name;
    for (const LogField &field : fields)
        line[field.name] = field.value;
    return boost::json::serialize(line);
}

std::string asText(const EventInfo &event, std::initializer_list<LogField> fields)
{
    std::ostringstream line;
    line << severityName(event.severity) << " SN" << event.number << ' ' << event.name;
    for (const LogField &field : fields)
        line << ' ' << field.name << '=' << boost::json::serialize(boost::json::value(field.value));
    return line.str();
}

} // namespace

void initLog(LogFormat format, Severity minimum)
{
    state() = { format, minimum };
    el::Configurations configuration;
    configuration.setToDefault();
    configuration.setGlobally(el::ConfigurationType::ToFile, "false");
    configuration.setGlobally(el::ConfigurationType::ToStandardOutput, "false");
    configuration.setGlobally(el::ConfigurationType::Format,
                              format == LogFormat::Json ? "%msg"
                                                        : "%datetime{%Y-%M-%dT%H:%m:%s.%g} %msg");
    el::Loggers::reconfigureAllLoggers(configuration);
    writer();
    el::Helpers::uninstallLogDispatchCallback<el::base::DefaultLogDispatchCallback>(
        "DefaultLogDispatchCallback");
    el::Helpers::installLogDispatchCallback<QueueDispatch>("QueueDispatch");
}

void finishLog()
{
    writer().finish();
}

void logEvent(const EventInfo &event, std::initializer_list<LogField> fields)
{
    if (event.severity < state().minimum)
        return;
    const bool json = state().format == LogFormat::Json;
    LOG(INFO) << (json ? asJson(event, fields) : asText(event, fields));
}

} // namespace snipestall
