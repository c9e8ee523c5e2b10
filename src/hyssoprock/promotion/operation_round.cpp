#include <hyssoprock/promotion/operation_round.hpp>

namespace hyssoprock::internal {

void StatusRound::send(const std::vector<const KnownEndpoint *> &endpoints, EndpointOperation order,
                       std::uint64_t term)
{
    query_ = ++scope_.context().lastQuery;
    unanswered_.clear();
    rows_.clear();
    reached_ = false;
    for (const auto *const endpoint : endpoints) {
        const auto &record = endpoint->record;
        unanswered_.insert(record.id);
        scope_.act(promotion::SendOperation{query_, scope_.service(), record.id, record.address,
                                            order, term});
    }
}

void StatusRound::take(const promotion::OperationCompleted &event)
{
    if (event.operationId != query_ || unanswered_.erase(event.endpoint) == 0) {
        return;
    }
    reached_ = reached_ || event.responded || event.row;
    if (event.row) {
        rows_[event.endpoint] = *event.row;
    }
}

const EndpointStatusRow *StatusRound::row(const std::string &id) const
{
    const auto found = rows_.find(id);
    return found == rows_.end() ? nullptr : &found->second;
}

const KnownEndpoint *StatusRound::primary() const
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
