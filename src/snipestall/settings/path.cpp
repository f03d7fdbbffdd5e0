#include "path.hpp"

namespace snipestall::settings {

std::vector<std::string> splitPath(std::string_view path)
{
    std::vector<std::string> segments;
    if (path.empty())
        return segments;
    std::size_t start = 0;
    for (std::size_t slash = path.find('/'); slash != std::string_view::npos;
         slash = path.find('/', start)) {
        segments.emplace_back(path.substr(start, slash - start));
        start = slash + 1;
    }
    segments.emplace_back(path.substr(start));
    return segments;
}

std::string joinPath(std::string_view parent, std::string_view segment)
{
    std::string path(parent);
    if (!path.empty())
        path += '/';
    return path.append(segment);
}

bool pathsOverlap(std::string_view a, std::string_view b)
{
    const std::string_view shorter = a.size() < b.size() ? a : b;
    const std::string_view longer = a.size() < b.size() ? b : a;
    if (!longer.starts_with(shorter))
        return false;
    return shorter.empty() || longer.size() == shorter.size() || longer[shorter.size()] == '/';
}

} // namespace snipestall::settings
