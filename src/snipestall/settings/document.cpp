#include "snipestall/settings/document.hpp"

namespace snipestall::settings {

const Value *Document::find(std::string_view path) const
{
    const auto it = values.find(path);
    return it == values.end() ? nullptr : &it->second;
}

bool Document::has(std::string_view entity) const
{
    return entities.find(entity) != entities.end();
}

std::vector<std::string> Document::names(std::string_view section) const
{
    const std::string prefix = std::string(section) + "/";
    std::vector<std::string> found;
    for (auto it = entities.lower_bound(prefix); it != entities.end(); ++it) {
        if (!it->starts_with(prefix))
            break;
        if (it->find('/', prefix.size()) == std::string::npos)
            found.push_back(it->substr(prefix.size()));
    }
    return found;
}

} // namespace snipestall::settings
