#pragma once

#include <cstdint>

/// @file
/// @brief Transaction state of a connection or session.

namespace hyssoprock {

/// @brief Transaction state of a connection to an endpoint, or of a caller's session.
enum class TransactionState : std::uint8_t {
    Idle,   ///< Not in a transaction.
    Open,   ///< In a transaction.
    Failed, ///< Only a commit or rollback is accepted; both roll back.
};

} // namespace hyssoprock
