#pragma once

#include "snipestall/policy/time.hpp"

#include <cstdint>

namespace snipestall::policy {

/// Learned time that work takes in a slot, per pool: so much a prompt token, so much an output
/// token, so much for a plain call.
class ServiceTime
{
public:
    [[nodiscard]] Duration estimate(double promptTokens, double outputTokens) const;
    [[nodiscard]] Duration perOutputToken() const;
    [[nodiscard]] Duration prompt(double promptTokens) const;

    void learnFirstToken(std::uint32_t promptTokens, Duration taken);
    void learnOutput(double tokens, Duration taken);
    void learnPlainCall(Duration taken);

private:
    double m_promptTokenSeconds = 0.0002;
    double m_outputTokenSeconds = 0.030;
    double m_plainCallSeconds = 0.020;
};

} // namespace snipestall::policy
