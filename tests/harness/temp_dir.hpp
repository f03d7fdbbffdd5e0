#pragma once

#include <string>

namespace snipestall::harness {

/// A new directory under /tmp. The destructor removes it unless keep() was called.
class TempDir
{
public:
    TempDir();
    ~TempDir();
    TempDir(const TempDir &) = delete;
    TempDir &operator=(const TempDir &) = delete;

    [[nodiscard]] const std::string &path() const { return m_path; }
    [[nodiscard]] std::string file(const std::string &name) const { return m_path + "/" + name; }
    void keep() { m_keep = true; }

private:
    std::string m_path;
    bool m_keep = false;
};

std::string readFile(const std::string &path);
void writeFile(const std::string &path, const std::string &text);

} // namespace snipestall::harness
