#pragma once

#include <cstdint>
#include <functional>
#include <string>

/// @file
/// @brief Interface for the call that promotes an endpoint to primary of its service.

namespace hyssoprock {

/// @brief Result of a promotion call.
enum class PromotionOutcome : std::uint8_t {
    Accepted, ///< The promotion is done or in progress.
    Refused,  ///< The token is outdated, or the target is not running.
    Limited,  ///< Not executed; a later call may be.
    NoAnswer, ///< May still be executed later if its token is still the highest one then.
};

/// @brief Sends promotion calls to the platform.
class PromotionClient
{
public:
    PromotionClient() = default;
    PromotionClient(const PromotionClient &) = delete;
    PromotionClient &operator=(const PromotionClient &) = delete;
    virtual ~PromotionClient() = default;

    /// @brief Sends one call. A token is never used for a second call.
    /// @param service Service of the endpoint.
    /// @param endpoint Identifier of the target.
    /// @param token Fencing token; committed before the call.
    /// @param done Called exactly once with the outcome, never from within call().
    virtual void call(const std::string &service, const std::string &endpoint, std::uint64_t token,
                      std::function<void(PromotionOutcome)> done) = 0;
};

} // namespace hyssoprock
