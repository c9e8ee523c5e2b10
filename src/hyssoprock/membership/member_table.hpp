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
/// @brief What an entry host believes of the others.

namespace hyssoprock {

/// @brief Records of other hosts, and how often each was passed on.
///
/// A record replaces another if its incarnation is higher or, at the same incarnation, its state is
/// further along Alive, Suspect, Dead, Left. Only the host itself raises its incarnation, so it
/// alone can take a suspicion back.
class MemberTable
{
public:
    /// @brief One other host.
    struct Member
    {
        HostRecord record;         ///< Newest record.
        Instant changedAt;         ///< When it came.
        std::size_t timesSent = 0; ///< Messages that have carried it since.
        bool seed = false;         ///< Named in the settings; never forgotten.
    };

    /// @brief Makes an empty table.
    /// @param suspicion Time that a suspected host has to refute.
    /// @param forget Time after which a host that has died or left is forgotten.
    MemberTable(Duration suspicion, Duration forget) noexcept;

    /// @brief Takes a record if it replaces the known one.
    /// @param record The record.
    /// @param now Present time.
    /// @return Whether it was taken.
    bool merge(const HostRecord &record, Instant now);
    /// @brief Adds a host of which only the address is known, unless it is known better.
    void addSeed(const std::string &host, const std::string &address, Instant now);
    /// @brief Ends suspicions that were not refuted, and forgets hosts that died or left long ago.
    /// @return Records of the hosts that have become dead.
    [[nodiscard]] std::vector<HostRecord> expire(Instant now);
    /// @brief When expire() has something to do next.
    [[nodiscard]] std::optional<Instant> nextExpiry() const;

    /// @brief Looks a host up.
    /// @return Its record, or nothing.
    [[nodiscard]] const HostRecord *find(const std::string &host) const;
    /// @brief All hosts, sorted by name.
    [[nodiscard]] std::vector<HostRecord> records() const;
    /// @brief Names of the hosts in a state, sorted.
    [[nodiscard]] std::vector<std::string> namesIn(HostState state) const;

    /// @brief Chooses records to pass on: those that were passed on least, then one more in turn,
    /// so that a change that was lost everywhere is still spread.
    /// @param most Most records.
    [[nodiscard]] std::vector<HostRecord> choose(std::size_t most);

private:
    [[nodiscard]] std::optional<Instant> expiryOf(const Member &member) const;
    [[nodiscard]] std::size_t sendsPerChange() const;

    Duration suspicion_;
    Duration forget_;
    std::map<std::string, Member> members_;
    std::string turn_;
};

} // namespace hyssoprock
