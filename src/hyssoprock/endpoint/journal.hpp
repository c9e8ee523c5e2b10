#pragma once

#include <cstdint>

#include <hyssoprock/message/replication.hpp>

/// @file
/// @brief Interface for the durable state of an endpoint.

namespace hyssoprock::endpoint {

/// @brief Stores each durable change before it takes effect.
class Journal
{
public:
    Journal() = default;
    Journal(const Journal &) = delete;
    Journal &operator=(const Journal &) = delete;
    virtual ~Journal() = default;

    /// @brief Records that terms below this one are refused.
    virtual void fence(std::uint64_t term) = 0;
    /// @brief Records an entry that is appended to the log.
    virtual void append(const TransactionEntry &entry) = 0;
    /// @brief Records that the entries after an index are removed from the log.
    virtual void truncateAfter(std::uint64_t index) = 0;
};

/// @brief Stores nothing; the endpoint is empty after a restart.
class NullJournal final : public Journal
{
public:
    void fence(std::uint64_t /*term*/) override {}
    void append(const TransactionEntry & /*entry*/) override {}
    void truncateAfter(std::uint64_t /*index*/) override {}
};

} // namespace hyssoprock::endpoint
