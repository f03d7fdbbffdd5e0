#include "plan.hpp"

#include "snipestall/base/random.hpp"

namespace snipestall::load {

namespace {

using std::chrono::nanoseconds;

constexpr std::string_view Words = "the ferry left the harbour with airtime on its account and ";

std::int64_t draw(Random &random, Range range)
{
    const auto width = static_cast<std::uint64_t>(range.most - range.least + 1);
    return range.least + static_cast<std::int64_t>(random.below(width));
}

std::string fillerText(std::string text, std::size_t length)
{
    while (text.size() < length)
        text += Words;
    text.resize(length);
    return text;
}

double rateAt(const Mix &mix, nanoseconds time)
{
    double rate = mix.rate;
    for (const auto &burst : mix.bursts) {
        if (time >= burst.at && time < burst.at + burst.length)
            rate *= burst.factor;
    }
    return rate;
}

std::size_t drawClass(Random &random, const Mix &mix)
{
    double totalShare = 0;
    for (const auto &work : mix.classes)
        totalShare += work.share;
    double left = random.uniform() * totalShare;
    for (std::size_t i = 0; i < mix.classes.size(); ++i) {
        left -= mix.classes[i].share;
        if (left < 0)
            return i;
    }
    return mix.classes.size() - 1;
}

std::string drawPrompt(Random &random, const WorkClass &work, const std::string &unique)
{
    std::string prefix;
    if (work.prefixes > 0) {
        const auto prefixIndex = random.below(static_cast<std::uint64_t>(work.prefixes));
        const auto length = static_cast<std::size_t>(work.prefixCharacters);
        prefix =
            fillerText("prefix " + std::to_string(prefixIndex) + " of " + work.name + ": ", length);
    }
    const auto length = static_cast<std::size_t>(draw(random, work.promptCharacters));
    return prefix + fillerText(unique + " ", std::max(length, unique.size()));
}

PlannedCall drawCall(Random &random, const Mix &mix, std::size_t targets, const std::string &unique)
{
    PlannedCall call;
    call.workClass = drawClass(random, mix);
    const WorkClass &work = mix.classes[call.workClass];
    call.prompt = work.prompt.empty() ? drawPrompt(random, work, unique) : work.prompt;
    call.maxTokens = draw(random, work.maxTokens);
    call.idempotent = random.uniform() >= work.nonIdempotentShare;
    const bool keyed = random.uniform() < work.keyedShare;
    if (keyed)
        call.idempotencyKey = unique;
    call.repeated = keyed && random.uniform() < work.repeatedShare;
    call.followsRetryAfter = random.uniform() < work.followsRetryAfter;
    call.target = random.below(targets);
    return call;
}

} // namespace

std::vector<PlannedCall> planCalls(const Mix &mix, std::size_t targets, const std::string &run)
{
    Random random(mix.seed);
    std::vector<PlannedCall> calls;
    const std::chrono::duration<double> length = mix.duration;
    double time = random.exponential(1 / rateAt(mix, nanoseconds(0)));
    while (time < length.count()) {
        const std::chrono::duration<double> seconds(time);
        const auto at = std::chrono::duration_cast<nanoseconds>(seconds);
        const std::string unique = run + "-" + std::to_string(calls.size());
        PlannedCall call = drawCall(random, mix, targets, unique);
        call.at = at;
        call.number = calls.size();
        calls.push_back(std::move(call));
        time += random.exponential(1 / rateAt(mix, at));
    }
    return calls;
}

} // namespace snipestall::load
