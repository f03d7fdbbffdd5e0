#include "harness/temp_dir.hpp"

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>

namespace snipestall::harness {

TempDir::TempDir()
{
    std::string pattern = "/tmp/snipestall-test-XXXXXX";
    if (mkdtemp(pattern.data()) == nullptr)
        throw std::runtime_error("cannot create a directory under /tmp");
    m_path = pattern;
}

TempDir::~TempDir()
{
    std::error_code ignored;
    if (!m_keep)
        std::filesystem::remove_all(m_path, ignored);
}

std::string readFile(const std::string &path)
{
    const std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

void writeFile(const std::string &path, const std::string &text)
{
    std::ofstream(path) << text;
}

} // namespace snipestall::harness
