#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

/// @file
/// @brief Bounds the memory that connections hold in a process.

namespace hyssoprock {

/// @brief Bounds of a MemoryBudget, in bytes.
struct MemoryBounds
{
    std::size_t process = 0;    ///< All accounts together.
    std::size_t team = 0;       ///< All accounts of a team together.
    std::size_t connection = 0; ///< One account.

    [[nodiscard]] bool operator==(const MemoryBounds &) const = default;
};

/// @brief What to do after a charge.
struct MemoryDecision
{
    bool mayRead = true;                ///< False: stop reading from the charged connection.
    std::vector<std::uint64_t> toClose; ///< Connections to close, the largest first.

    [[nodiscard]] bool operator==(const MemoryDecision &) const = default;
};

/// @brief Accounts for the memory of connections and decides what happens at the bounds.
///
/// Guards against callers that make a process hold more memory than its machine has: messages sent
/// in part, answers that are not read, large session values. Does no I/O.
class MemoryBudget
{
public:
    /// @brief Accounts of at most this size may be read from until the whole budget is in use, so
    /// that ordinary statements are served while large messages wait.
    static constexpr std::size_t ordinaryBytes = std::size_t{16} * 1024;

    explicit MemoryBudget(MemoryBounds bounds) noexcept
        : bounds_{bounds}
    {}

    /// @brief Whether a new connection may be accepted.
    [[nodiscard]] bool admits() const noexcept { return total_ < bounds_.process; }

    /// @brief Sets what a connection holds; an unknown connection gets an account.
    /// @param connection Identifier of the connection.
    /// @param team Team of its caller; empty for none.
    /// @param bytes All that it holds now, in bytes.
    /// @return What to do. The accounts of connections to close are removed.
    [[nodiscard]] MemoryDecision charge(std::uint64_t connection, const std::string &team,
                                        std::size_t bytes);

    /// @brief Makes room for connections that were told to stop, if others keep what they hold.
    /// @return Connections to close, the largest first. Their accounts are removed.
    [[nodiscard]] std::vector<std::uint64_t> makeRoom();

    /// @brief Counts a completed statement: of two accounts of the same size class, the one that
    /// completed less is closed first.
    void recordWork(std::uint64_t connection);

    /// @brief Removes an account.
    void release(std::uint64_t connection);

    /// @brief Whether a connection that was told to stop may be read from again.
    [[nodiscard]] bool mayRead(std::uint64_t connection) const;

    /// @brief Sum of all accounts, in bytes.
    [[nodiscard]] std::size_t total() const noexcept { return total_; }

private:
    struct Account
    {
        std::string team;
        std::size_t bytes = 0;
        std::uint64_t work = 0;
    };

    /// Sort key: the last entry is closed first.
    struct Rank
    {
        unsigned sizeClass = 0;       ///< Number of binary digits of the size.
        std::uint64_t idleness = 0;   ///< Larger for less work.
        std::uint64_t connection = 0; ///< Among equals the youngest connection is closed first.

        // clang-tidy 14 takes the 0 in a rewritten comparison for a null pointer.
        // NOLINTNEXTLINE(modernize-use-nullptr)
        [[nodiscard]] auto operator<=>(const Rank &) const = default;
    };

    [[nodiscard]] static Rank rankOf(std::uint64_t connection, const Account &account) noexcept;
    [[nodiscard]] bool mayRead(const Account &account) const;
    void closeLargest(const std::string *team, std::size_t bound,
                      std::vector<std::uint64_t> &closed);

    MemoryBounds bounds_;
    std::size_t total_ = 0;
    std::unordered_map<std::uint64_t, Account> accounts_{};
    std::set<Rank> ranks_{}; ///< Of all accounts.
    std::map<std::string, std::size_t> teams_{};
};

} // namespace hyssoprock
