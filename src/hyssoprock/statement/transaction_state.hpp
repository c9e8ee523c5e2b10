#pragma once

#include <cstdint>

/// @file
/// @brief Transaction state of a connection or session.

namespace hyssoprock {

/// @brief Transaction state of a connection to an endpoint, or of a caller's session.
enum class TransactionState : std::uint8_t {
    Idle,   ///< No transaction.
    Open,   ///< In a transaction.
    Failed, ///< Only its end is accepted, which rolls back.
};

} // namespace hyssoprock
