#pragma once

#include "snipestall/base/error.hpp"

#include <stdexcept>

namespace snipestall {

/// Root of the exceptions this project throws: broken invariants and failures that the immediate
/// caller can't handle. Expected failures are returned as Result instead.
class Exception : public std::runtime_error
{
public:
    explicit Exception(const Error &error);

    [[nodiscard]] ErrorKind kind() const { return m_kind; }

private:
    ErrorKind m_kind;
};

} // namespace snipestall
