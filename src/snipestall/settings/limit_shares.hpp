#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace snipestall::settings {

struct Document;

/// How one customer's limits are divided over the data centres.
class LimitShares
{
public:
    /// An empty name gives the shares of a customer that has none of its own.
    static LimitShares of(const Document &document, std::string_view customer);
    static bool hasOwn(const Document &document, std::string_view customer);

    [[nodiscard]] double share(std::string_view dataCentre) const;
    [[nodiscard]] double sum() const;
    /// A data centre's whole part of a limit that counts requests. The parts of all data centres
    /// sum to the limit times the sum of the shares, rounded down.
    [[nodiscard]] std::uint32_t divide(std::uint32_t limit, std::string_view dataCentre) const;

private:
    struct Share
    {
        std::string dataCentre;
        double share = 0;
    };

    /// By name of the data centre.
    std::vector<Share> m_shares;
};

} // namespace snipestall::settings
