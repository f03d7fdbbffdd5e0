#pragma once

#include "snipestall/settings/tree.hpp"

#include <gtest/gtest.h>

#include <fstream>
#include <iterator>
#include <stdexcept>
#include <string>

namespace snipestall::settings {

/// The least that passes the checks: one operator who can change it.
inline constexpr const char *Minimal =
    "operators: {ayla: {key_hashes: "
    "[2c26b46b68ffc68ff99b453c1d30413413422d706483bfa0f98a5e886266e7ae]}}\n";

/// A tree from a text that leaves the operators out.
inline Tree parsed(const std::string &yaml)
{
    auto tree = Tree::parse(Minimal + yaml);
    if (!tree)
        throw std::invalid_argument(tree.error().front().path + ": " + tree.error().front().found);
    return std::move(*tree);
}

inline std::string readFile(const std::string &name)
{
    std::ifstream file(SNIPESTALL_SOURCE_DIR "/" + name);
    return { std::istreambuf_iterator<char>(file), {} };
}

inline std::string example(const std::string &name)
{
    return readFile("examples/settings/" + name + ".yaml");
}

} // namespace snipestall::settings
