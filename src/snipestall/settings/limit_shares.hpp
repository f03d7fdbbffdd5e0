#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace snipestall::settings {

struct Document;

/// The shares by which one customer's limits are divided among the data centres.
class LimitShares
{
public:
    /// The shares in force for a customer. An empty name gives those of a customer without shares
    /// of its own.
    static LimitShares of(const Document &document, std::string_view customer);
    /// Whether the customer overrides the share of any data centre.
    static bool hasOwnShares(const Document &document, std::string_view customer);

    /// Share of a data centre, 0 to 1; 0 for an unknown one.
    [[nodiscard]] double share(std::string_view dataCentre) const;
    [[nodiscard]] double sum() const;
    /// A data centre's part of a limit that counts requests, as a whole number. The parts of all
    /// data centres sum to the limit times the sum of the shares, rounded down.
    [[nodiscard]] std::uint32_t divide(std::uint32_t limit, std::string_view dataCentre) const;

private:
    struct Share
    {
        std::string dataCentre;
        double share = 0;
    };

    /// In order of the names of the data centres.
    std::vector<Share> m_shares;
};

} // namespace snipestall::settings
