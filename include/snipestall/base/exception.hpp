#pragma once

#include "snipestall/base/error.hpp"

#include <stdexcept>

namespace snipestall {

/// Base class of the exceptions that this project throws for broken invariants and for failures
/// that the immediate caller can't handle. Expected failures are returned as Result instead.
class Exception : public std::runtime_error
{
public:
    explicit Exception(const Error &error);

    [[nodiscard]] ErrorKind kind() const { return m_kind; }

private:
    ErrorKind m_kind;
};

} // namespace snipestall
