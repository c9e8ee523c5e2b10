#pragma once

#include <cstdint>
#include <functional>
#include <string>

/// @file
/// @brief The call that makes an endpoint the primary of its service.

namespace hyssoprock {

/// @brief How a promotion call ended.
enum class PromotionOutcome : std::uint8_t {
    Accepted, ///< Done or in progress.
    Refused,  ///< Old token, or the target does not run.
    Limited,  ///< Not executed now; a later call may be.
    NoAnswer, ///< It may be executed later, if its token is still the highest then.
};

/// @brief Sends promotion calls to the platform.
class PromotionClient
{
public:
    PromotionClient() = default;
    PromotionClient(const PromotionClient &) = delete;
    PromotionClient &operator=(const PromotionClient &) = delete;
    virtual ~PromotionClient() = default;

    /// @brief Sends one call; it is never repeated with the same token.
    /// @param service Service.
    /// @param endpoint Identifier of the target.
    /// @param token Fencing token, committed before.
    /// @param done Called once with the outcome, not from within call().
    virtual void call(const std::string &service, const std::string &endpoint, std::uint64_t token,
                      std::function<void(PromotionOutcome)> done) = 0;
};

} // namespace hyssoprock
