#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <hyssoprock/core/random_source.hpp>
#include <hyssoprock/core/time.hpp>
#include <hyssoprock/message/membership.hpp>

/// @file
/// @brief Membership records of other entry hosts.

namespace hyssoprock {

/// @brief Holds the records of other hosts, and how often each was gossiped.
///
/// A record replaces another if its incarnation is higher or, at the same incarnation, its state is
/// later in the order Alive, Suspect, Dead, Left. Only the host itself increments its incarnation,
/// so only it can refute a suspicion.
class MemberTable
{
public:
    /// @brief One other host.
    struct Member
    {
        HostRecord record;         ///< Newest record.
        Instant changedAt;         ///< When the record was received.
        std::size_t sendCount = 0; ///< Number of messages that contained it since.
        bool seed = false;         ///< Listed in the settings; never removed.
    };

    /// @brief Constructs an empty table.
    /// @param suspicionTimeout Time after which a suspicion without refutation makes a host dead.
    /// @param forgetDelay Time after which a dead or left host is removed.
    MemberTable(Duration suspicionTimeout, Duration forgetDelay) noexcept;

    /// @brief Stores a record if it replaces the known one.
    /// @param record The record.
    /// @param now Current time.
    /// @return Whether it was stored.
    bool merge(const HostRecord &record, Instant now);
    /// @brief Adds a host of which only the address is known, unless there is a record of it.
    void addSeed(const std::string &host, const std::string &address, Instant now);
    /// @brief Marks hosts dead whose suspicion has timed out, and removes hosts that have been dead
    /// or left for long.
    /// @return Records of the hosts that became dead.
    [[nodiscard]] std::vector<HostRecord> expire(Instant now);
    /// @brief Time at which expire() has to be called next.
    [[nodiscard]] std::optional<Instant> nextExpiry() const;

    /// @brief Finds a host.
    /// @return Its record, or null.
    [[nodiscard]] const HostRecord *find(const std::string &host) const;
    /// @brief All hosts, sorted by name.
    [[nodiscard]] std::vector<HostRecord> records() const;
    /// @brief Names of the hosts in a state, sorted.
    [[nodiscard]] std::vector<std::string> hostsInState(HostState state) const;

    /// @brief Selects the records that were sent least often, and one more in round-robin order, so
    /// that a change is still disseminated if all messages with it were lost.
    /// @param countMax Maximum number of records.
    [[nodiscard]] std::vector<HostRecord> selectForGossip(std::size_t countMax);

private:
    [[nodiscard]] std::optional<Instant> expiryOf(const Member &member) const;
    [[nodiscard]] std::size_t sendCountMaxPerChange() const;

    Duration suspicionTimeout_;
    Duration forgetDelay_;
    std::map<std::string, Member> members_;
    std::string lastInTurn_;
};

} // namespace hyssoprock
