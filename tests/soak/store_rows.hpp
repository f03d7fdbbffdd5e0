#pragma once

#include "snipestall/wire/endpoint.hpp"

#include <string>

namespace snipestall::soak {

/// Writes a row of the operators. Returns false if the store did not accept it.
bool putOperatorRow(const wire::Endpoint &store, const std::string &key, const std::string &value);

/// Reads a row of the gateways' status; empty if there is none or the store does not answer.
std::string statusRow(const wire::Endpoint &store, const std::string &key);

} // namespace snipestall::soak
