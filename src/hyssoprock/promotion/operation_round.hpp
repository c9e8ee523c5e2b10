#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include <hyssoprock/promotion/service_context.hpp>

/// @file
/// @brief One order to several endpoints, and their answers.

namespace hyssoprock::internal {

/// @brief The newest round of orders; answers to earlier rounds are ignored.
class StatusRound
{
public:
    explicit StatusRound(ServiceScope &scope)
        : scope_{scope}
    {}

    /// @brief Begins a round.
    /// @param endpoints Receivers.
    /// @param order Order.
    /// @param term Term of the order, if it has one.
    void send(const std::vector<const KnownEndpoint *> &endpoints,
              EndpointOperation order = EndpointOperation::Status, std::uint64_t term = 0);
    void take(const promotion::OperationCompleted &event);

    /// @brief Whether the orders to all endpoints have ended.
    [[nodiscard]] bool complete() const noexcept { return unanswered_.empty(); }
    [[nodiscard]] bool pending(const std::string &id) const { return unanswered_.contains(id); }
    /// @brief Whether any endpoint has answered, with or without a row.
    [[nodiscard]] bool responded() const noexcept { return reached_; }
    [[nodiscard]] const std::map<std::string, EndpointStatusRow> &rows() const noexcept
    {
        return rows_;
    }
    /// @return Null if the endpoint has not answered.
    [[nodiscard]] const EndpointStatusRow *row(const std::string &id) const;
    /// @brief Known endpoint with the highest term among those that have answered as primary.
    /// @return Null if none has.
    [[nodiscard]] const KnownEndpoint *primary() const;

private:
    ServiceScope &scope_;
    std::uint64_t query_ = 0;
    std::set<std::string> unanswered_{};
    std::map<std::string, EndpointStatusRow> rows_{};
    bool reached_ = false;
};

} // namespace hyssoprock::internal
