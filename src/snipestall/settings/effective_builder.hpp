#pragma once

#include <cstdint>
#include <memory>
#include <string_view>

namespace snipestall::settings {

struct Document;
struct EffectiveSettings;

/// Resolves a validated document for one data centre.
std::shared_ptr<const EffectiveSettings>
buildEffective(const Document &document, std::string_view dataCentre, std::uint64_t version);

} // namespace snipestall::settings
