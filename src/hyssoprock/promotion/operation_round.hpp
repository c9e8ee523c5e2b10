#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include <hyssoprock/promotion/service_scope.hpp>

/// @file
/// @brief Sends one operation to several endpoints and collects the answers.

namespace hyssoprock::internal {

/// @brief The newest round of operations. Answers to earlier rounds are ignored.
class OperationRound
{
public:
    explicit OperationRound(ServiceScope &scope)
        : scope_{scope}
    {}

    /// @brief Starts a round.
    /// @param endpoints Endpoints to send the operation to.
    /// @param operation Operation to send.
    /// @param term Term of the operation; only for Pause and StepDown.
    void send(const std::vector<const KnownEndpoint *> &endpoints,
              EndpointOperation operation = EndpointOperation::Status, std::uint64_t term = 0);
    void handle(const promotion::OperationCompleted &event);

    /// @brief Whether every endpoint has answered or failed.
    [[nodiscard]] bool isComplete() const noexcept { return unanswered_.empty(); }
    [[nodiscard]] bool isPending(const std::string &id) const { return unanswered_.contains(id); }
    /// @brief Whether any endpoint has answered, with or without a status row.
    [[nodiscard]] bool hasResponse() const noexcept { return hasResponse_; }
    [[nodiscard]] const std::map<std::string, EndpointStatusRow> &rows() const noexcept
    {
        return rows_;
    }
    /// @return Null if the endpoint has not answered with a row.
    [[nodiscard]] const EndpointStatusRow *row(const std::string &id) const;
    /// @brief Highest term that an endpoint has answered with; 0 if none has answered.
    [[nodiscard]] std::uint64_t highestTerm() const;
    /// @brief Returns the registered endpoint with the highest term among those that answered as
    /// primary.
    /// @return Null if none did.
    [[nodiscard]] const KnownEndpoint *findPrimary() const;

private:
    ServiceScope &scope_;
    std::uint64_t operationId_ = 0;
    std::set<std::string> unanswered_{};
    std::map<std::string, EndpointStatusRow> rows_{};
    bool hasResponse_ = false;
};

} // namespace hyssoprock::internal
