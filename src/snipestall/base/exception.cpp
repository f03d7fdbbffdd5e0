#include "snipestall/base/exception.hpp"

namespace snipestall {

Exception::Exception(const Error &error)
    : std::runtime_error(error.message)
    , m_kind(error.kind)
{ }

} // namespace snipestall
