#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>

#include <hyssoprock/core/invariant.hpp>
#include <hyssoprock/core/log_position.hpp>
#include <hyssoprock/message/consensus.hpp>

/// @file
/// @brief Checks the safety properties of a Raft group across all its hosts.

namespace hyssoprock::test {

/// @brief State machine under test: a running hash of the applied commands.
struct HashState
{
    std::uint64_t index = 0;
    std::uint64_t hash = 0;

    void apply(const LogEntry &entry)
    {
        check(entry.position.index == index + 1, "entries are applied without gaps");
        index = entry.position.index;
        if (entry.kind == LogEntryKind::Command) {
            for (const auto symbol : entry.payload) {
                hash = (hash ^ static_cast<unsigned char>(symbol)) * 0x100000001b3ULL + 1;
            }
        }
    }

    [[nodiscard]] std::string encode() const
    {
        return std::to_string(index) + ":" + std::to_string(hash);
    }

    static HashState decode(const std::string &text)
    {
        const auto colon = text.find(':');
        return {std::stoull(text.substr(0, colon)), std::stoull(text.substr(colon + 1))};
    }
};

/// @brief Records the leaders, appended entries and committed entries of all hosts.
class RaftHistory
{
public:
    void recordLeader(std::uint64_t term, const std::string &host)
    {
        const auto [known, added] = leaders_.emplace(term, host);
        check(known->second == host, "at most one leader per term");
    }

    void recordAppended(const LogEntry &entry, std::uint64_t previousTerm)
    {
        const auto [known, added] =
            appended_.emplace(entry.position, std::pair{entry, previousTerm});
        check(known->second == std::pair{entry, previousTerm},
              "logs with the same entry match up to it");
    }

    void recordApplied(const LogEntry &entry, const HashState &after)
    {
        const auto [known, added] = committed_.emplace(entry.position.index, entry);
        check(known->second == entry, "a committed entry never changes");
        const auto [state, first] = states_.emplace(after.index, after.hash);
        check(state->second == after.hash, "state machines apply the same sequence");
    }

    void recordRestored(const HashState &state) const
    {
        const auto known = states_.find(state.index);
        check(known != states_.end() && known->second == state.hash,
              "a snapshot holds a committed state");
    }

    [[nodiscard]] const std::map<std::uint64_t, LogEntry> &committed() const { return committed_; }
    [[nodiscard]] std::uint64_t newestTerm() const
    {
        return leaders_.empty() ? 0 : leaders_.rbegin()->first;
    }
    [[nodiscard]] std::size_t terms() const { return leaders_.size(); }
    [[nodiscard]] bool hasCommitted(const std::string &command) const
    {
        for (const auto &[index, entry] : committed_) {
            if (entry.kind == LogEntryKind::Command && entry.payload == command) {
                return true;
            }
        }
        return false;
    }

private:
    std::map<std::uint64_t, std::string> leaders_;
    std::map<LogPosition, std::pair<LogEntry, std::uint64_t>> appended_;
    std::map<std::uint64_t, LogEntry> committed_;
    std::map<std::uint64_t, std::uint64_t> states_;
};

} // namespace hyssoprock::test
