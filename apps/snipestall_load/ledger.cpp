#include "ledger.hpp"

#include "common/json_fields.hpp"

#include <fstream>
#include <stdexcept>

namespace snipestall::load {

namespace json = boost::json;
using standins::arrayField;
using standins::integerField;
using standins::parseObject;
using standins::textField;

namespace {

LedgerAttempt readAttempt(const json::object &object)
{
    LedgerAttempt attempt;
    attempt.request = textField(object, "request");
    attempt.attempt = textField(object, "attempt");
    attempt.from = integerField(object, "from");
    attempt.produced = integerField(object, "produced");
    attempt.prefilled = integerField(object, "prefilled");
    attempt.ended = textField(object, "ended");
    if (object.contains("after_notice_ms"))
        attempt.afterNoticeMs = integerField(object, "after_notice_ms");
    return attempt;
}

LedgerRun readRun(const json::object &object)
{
    return { textField(object, "key"), textField(object, "request"),
             integerField(object, "count") };
}

} // namespace

Result<void> Ledger::addBody(std::string_view text)
{
    try {
        const json::object body = parseObject(text);
        for (const auto &element : arrayField(body, "attempts")) {
            LedgerAttempt attempt = readAttempt(element.as_object());
            const std::string id = attempt.attempt;
            m_attempts.insert_or_assign(id, std::move(attempt));
        }
        for (const auto &element : arrayField(body, "runs"))
            m_runs.push_back(readRun(element.as_object()));
    } catch (const std::invalid_argument &error) {
        return fail(ErrorKind::InvalidArgument, error.what());
    }
    return {};
}

Result<void> Ledger::addFile(const std::string &path)
{
    std::ifstream file(path);
    if (!file)
        return fail(ErrorKind::NotFound, "cannot read " + path);
    for (std::string line; std::getline(file, line);) {
        const bool run = line.find("\"count\"") != std::string::npos;
        const std::string name = run ? "runs" : "attempts";
        auto added = addBody("{\"" + name + "\":[" + line + "]}");
        if (!added)
            return fail(ErrorKind::InvalidArgument, path + ": " + added.error().message);
    }
    return {};
}

} // namespace snipestall::load
