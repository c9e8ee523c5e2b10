#include <hyssoprock/promotion/operation_round.hpp>

#include <algorithm>

namespace hyssoprock::internal {

void OperationRound::send(const std::vector<const KnownEndpoint *> &endpoints,
                          EndpointOperation operation, std::uint64_t term)
{
    operationId_ = ++scope_.controller().lastOperationId;
    unanswered_.clear();
    rows_.clear();
    hasResponse_ = false;
    for (const auto *const endpoint : endpoints) {
        const auto &record = endpoint->record;
        unanswered_.insert(record.id);
        scope_.addAction(promotion::SendOperation{operationId_, scope_.service(), record.id,
                                                  record.address, operation, term});
    }
}

void OperationRound::handle(const promotion::OperationCompleted &event)
{
    if (event.operationId != operationId_ || unanswered_.erase(event.endpoint) == 0) {
        return;
    }
    hasResponse_ = hasResponse_ || event.responded || event.row;
    if (event.row) {
        rows_[event.endpoint] = *event.row;
    }
}

const EndpointStatusRow *OperationRound::row(const std::string &id) const
{
    const auto found = rows_.find(id);
    return found == rows_.end() ? nullptr : &found->second;
}

std::uint64_t OperationRound::highestTerm() const
{
    std::uint64_t highest = 0;
    for (const auto &[endpoint, row] : rows_) {
        highest = std::max({highest, row.term, row.received.term});
    }
    return highest;
}

const KnownEndpoint *OperationRound::findPrimary() const
{
    const EndpointStatusRow *highest = nullptr;
    const KnownEndpoint *found = nullptr;
    for (const auto &[id, row] : rows_) {
        const auto *const endpoint = scope_.find(id);
        if (endpoint != nullptr && row.role == EndpointRole::Primary
            && (highest == nullptr || highest->term < row.term)) {
            highest = &row;
            found = endpoint;
        }
    }
    return found;
}

} // namespace hyssoprock::internal
