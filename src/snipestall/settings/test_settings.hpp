#pragma once

#include "snipestall/settings/tree.hpp"

#include <gtest/gtest.h>

#include <fstream>
#include <iterator>
#include <stdexcept>
#include <string>

namespace snipestall::settings {

/// The smallest valid document: one operator with a key.
inline constexpr const char *MinimalYaml =
    "operators: {ayla: {key_hashes: "
    "[2c26b46b68ffc68ff99b453c1d30413413422d706483bfa0f98a5e886266e7ae]}}\n";

/// Parses a text without operators, to which MinimalYaml is added. Throws if it has a fault.
inline Tree parseWithOperator(const std::string &yaml)
{
    auto tree = Tree::parse(MinimalYaml + yaml);
    if (!tree)
        throw std::invalid_argument(tree.error().front().path + ": " + tree.error().front().found);
    return std::move(*tree);
}

inline std::string readFile(const std::string &name)
{
    std::ifstream file(SNIPESTALL_SOURCE_DIR "/" + name);
    return { std::istreambuf_iterator<char>(file), {} };
}

inline std::string exampleYaml(const std::string &name)
{
    return readFile("examples/settings/" + name + ".yaml");
}

} // namespace snipestall::settings
