#include "mix.hpp"

#include <yaml-cpp/yaml.h>

#include <array>
#include <fstream>
#include <functional>
#include <sstream>
#include <string_view>

namespace snipestall::load {

namespace {

using std::chrono::milliseconds;

/// A key that a YAML map may hold, and the function that reads its value.
template<typename Target>
struct Field
{
    std::string_view name;
    std::function<void(const YAML::Node &, Target &)> read;
};

/// Reads a value of any type into a member.
template<typename Target, typename Value>
Field<Target> field(std::string_view name, Value Target::*member)
{
    return { name, [member](const YAML::Node &node, Target &target) {
                target.*member = node.as<Value>();
            } };
}

/// Reads a number of milliseconds into a member.
template<typename Target>
Field<Target> field(std::string_view name, milliseconds Target::*member)
{
    return { name, [member](const YAML::Node &node, Target &target) {
                target.*member = milliseconds(node.as<std::int64_t>());
            } };
}

/// Reads a number, or a pair [least, most], into a member.
template<typename Target>
Field<Target> field(std::string_view name, Range Target::*member)
{
    return { name, [member](const YAML::Node &node, Target &target) {
                const bool pair = node.IsSequence();
                const YAML::Node least = pair ? node[0] : node;
                const YAML::Node most = pair ? node[1] : node;
                target.*member = { least.as<std::int64_t>(), most.as<std::int64_t>() };
            } };
}

[[noreturn]] void throwInvalid(const std::string &path, const std::string &what)
{
    throw std::invalid_argument(path + ": " + what);
}

template<typename Target>
void readMap(const YAML::Node &node, const std::vector<Field<Target>> &fields,
             const std::string &path, Target &target)
{
    if (!node.IsMap())
        throwInvalid(path, "must be a map");
    for (const auto &entry : node) {
        const auto name = entry.first.as<std::string>();
        const Field<Target> *known = nullptr;
        std::string allowed;
        for (const auto &candidate : fields) {
            known = candidate.name == name ? &candidate : known;
            allowed += " " + std::string(candidate.name);
        }
        if (known == nullptr)
            throwInvalid(path + "." + name, "is not a known key; allowed keys are:" + allowed);
        try {
            known->read(entry.second, target);
        } catch (const YAML::Exception &) {
            throwInvalid(path + "." + name, "has a value of the wrong type");
        }
    }
}

const std::vector<Field<WorkClass>> &classFields()
{
    static const std::vector<Field<WorkClass>> fields {
        field("name", &WorkClass::name),
        field("share", &WorkClass::share),
        field("model", &WorkClass::model),
        field("service", &WorkClass::service),
        field("path", &WorkClass::path),
        field("key", &WorkClass::key),
        field("urgency", &WorkClass::urgency),
        field("deadline_ms", &WorkClass::deadline),
        field("prompt", &WorkClass::prompt),
        field("prompt_characters", &WorkClass::promptCharacters),
        field("max_tokens", &WorkClass::maxTokens),
        field("prefixes", &WorkClass::prefixes),
        field("prefix_characters", &WorkClass::prefixCharacters),
        field("non_idempotent_share", &WorkClass::nonIdempotentShare),
        field("keyed_share", &WorkClass::keyedShare),
        field("repeated_share", &WorkClass::repeatedShare),
        field("repeat_after_ms", &WorkClass::repeatAfter),
        field("follows_retry_after", &WorkClass::followsRetryAfter),
    };
    return fields;
}

const std::vector<Field<Burst>> &burstFields()
{
    static const std::vector<Field<Burst>> fields {
        field("at_ms", &Burst::at),
        field("length_ms", &Burst::length),
        field("factor", &Burst::factor),
    };
    return fields;
}

template<typename Element>
std::function<void(const YAML::Node &, Mix &)> list(const std::string &name,
                                                    std::vector<Element> Mix::*member,
                                                    const std::vector<Field<Element>> &fields)
{
    return [name, member, &fields](const YAML::Node &node, Mix &mix) {
        for (std::size_t i = 0; i < node.size(); ++i) {
            Element element;
            readMap(node[i], fields, name + "[" + std::to_string(i) + "]", element);
            (mix.*member).push_back(std::move(element));
        }
    };
}

const std::vector<Field<Mix>> &mixFields()
{
    static const std::vector<Field<Mix>> fields {
        field("rate", &Mix::rate),
        field("duration_ms", &Mix::duration),
        field("seed", &Mix::seed),
        { "classes", list("classes", &Mix::classes, classFields()) },
        { "bursts", list("bursts", &Mix::bursts, burstFields()) },
    };
    return fields;
}

} // namespace

Result<Mix> Mix::parse(const std::string &yaml)
{
    Mix mix;
    try {
        readMap(YAML::Load(yaml), mixFields(), "mix", mix);
        for (const auto &work : mix.classes) {
            if (work.model.empty() == work.service.empty())
                throwInvalid("classes." + work.name, "must name either a model or a service");
        }
    } catch (const YAML::Exception &error) {
        return fail(ErrorKind::InvalidArgument,
                    std::string("the mix is not valid YAML: ") + error.what());
    } catch (const std::invalid_argument &error) {
        return fail(ErrorKind::InvalidArgument, error.what());
    }
    return mix;
}

Result<Mix> Mix::load(const std::string &file)
{
    std::ifstream stream(file);
    if (!stream)
        return fail(ErrorKind::NotFound, "cannot read " + file + "; check --mix");
    std::ostringstream text;
    text << stream.rdbuf();
    return parse(text.str());
}

} // namespace snipestall::load
