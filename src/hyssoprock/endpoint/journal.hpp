#pragma once

#include <cstdint>

#include <hyssoprock/message/replication.hpp>

/// @file
/// @brief What an endpoint writes down so that it survives a restart.

namespace hyssoprock::endpoint {

/// @brief Receives each durable change before it takes effect.
class Journal
{
public:
    Journal() = default;
    Journal(const Journal &) = delete;
    Journal &operator=(const Journal &) = delete;
    virtual ~Journal() = default;

    /// @brief The endpoint refuses all terms below this one from now on.
    virtual void fence(std::uint64_t term) = 0;
    /// @brief An entry was added to the log.
    virtual void append(const TransactionEntry &entry) = 0;
    /// @brief The entries after an index were removed from the log.
    virtual void truncateAfter(std::uint64_t index) = 0;
};

/// @brief Keeps nothing: the endpoint is empty after a restart.
class NullJournal final : public Journal
{
public:
    void fence(std::uint64_t /*term*/) override {}
    void append(const TransactionEntry & /*entry*/) override {}
    void truncateAfter(std::uint64_t /*index*/) override {}
};

} // namespace hyssoprock::endpoint
