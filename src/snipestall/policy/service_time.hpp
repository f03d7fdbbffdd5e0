#pragma once

#include "snipestall/policy/time.hpp"

#include <cstdint>

namespace snipestall::policy {

/// Learned slot time of a pool's work: time per prompt token, per output token and per call of a
/// plain service.
class ServiceTime
{
public:
    [[nodiscard]] Duration estimate(double promptTokens, double outputTokens) const;
    [[nodiscard]] Duration outputTokenTime() const;
    [[nodiscard]] Duration promptTime(double promptTokens) const;

    void learnFirstToken(std::uint32_t promptTokens, Duration taken);
    void learnOutput(double tokens, Duration taken);
    void learnPlainCall(Duration taken);

private:
    double m_promptTokenSeconds = 0.0002;
    double m_outputTokenSeconds = 0.030;
    double m_plainCallSeconds = 0.020;
};

} // namespace snipestall::policy
