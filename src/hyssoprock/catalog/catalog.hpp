#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <hyssoprock/core/result.hpp>
#include <hyssoprock/message/catalog.hpp>
#include <hyssoprock/message/control.hpp>

/// @file
/// @brief The replicated state machine of the control group.

namespace hyssoprock {

/// @brief Outcome of one command. Every replica computes the same one.
struct CatalogResult
{
    OperatorResponse answer;                ///< Kind None if the command took effect.
    std::vector<std::string> changedGroups; ///< Groups whose view has changed, sorted.
    bool configurationChanged = false;      ///< Whether the configuration has a new revision.

    [[nodiscard]] bool operator==(const CatalogResult &) const = default;
};

/// @brief Groups, members, terms, primaries, record kinds, planned stops and operators' changes.
///
/// Only committed commands change it, in log order. A command that the present state does not allow
/// has no effect and says so in its result, so a leader may propose a command twice.
class Catalog
{
public:
    /// @brief Operators' changes that are remembered, newest first. A change resent after that many
    /// others gets a revision conflict instead of its first answer, and is never applied twice.
    static constexpr std::size_t rememberedChangesMax = 10000;

    /// @brief Applies a committed command.
    /// @param command The command.
    /// @param logIndex Its log index; must be above that of every command before.
    /// @return What happened.
    CatalogResult apply(const CatalogCommand &command, std::uint64_t logIndex);

    /// @brief The whole state, for a snapshot of the log.
    /// @return Encoded CatalogSnapshot.
    [[nodiscard]] std::string encodeSnapshot() const;

    /// @brief Replaces the whole state.
    /// @param bytes Result of encodeSnapshot.
    /// @return Nothing, or ProtocolViolation; then the state is unchanged.
    Result<void> restoreSnapshot(std::string_view bytes);

    /// @brief Log index of the newest command applied.
    [[nodiscard]] std::uint64_t appliedIndex() const noexcept { return appliedIndex_; }

    /// @brief View version of the newest change of any group.
    [[nodiscard]] std::uint64_t viewVersion() const noexcept { return viewVersion_; }

    /// @brief What operators have declared.
    [[nodiscard]] const Configuration &configuration() const noexcept { return configuration_; }

    /// @brief All groups by name.
    [[nodiscard]] const std::map<std::string, GroupRecord, std::less<>> &groups() const noexcept
    {
        return groups_;
    }

    /// @brief Looks a group up.
    /// @param name Any name.
    /// @return The group, or null.
    [[nodiscard]] const GroupRecord *findGroup(std::string_view name) const noexcept;

    /// @brief Looks an endpoint up.
    /// @param name Any name.
    /// @return The member, or null.
    [[nodiscard]] const Member *findMember(std::string_view name) const noexcept;

    /// @brief Group of an endpoint.
    /// @param endpoint Any name.
    /// @return The group, or null.
    [[nodiscard]] const GroupRecord *groupOf(std::string_view endpoint) const noexcept;

    /// @brief Views that have changed after a view version.
    /// @param version View version that a host has; 0 for all.
    /// @return Changed views, oldest change first.
    [[nodiscard]] std::vector<GroupView> viewsAfter(std::uint64_t version) const;

private:
    [[nodiscard]] CatalogResult applyBody(const OperatorChange &change);
    [[nodiscard]] CatalogResult applyBody(const RecordEndpoint &command);
    [[nodiscard]] CatalogResult applyBody(const BeginTerm &command);
    [[nodiscard]] CatalogResult applyBody(const SetPrimary &command);
    [[nodiscard]] CatalogResult applyBody(const ActivatePrimary &command);
    [[nodiscard]] CatalogResult applyBody(const BeginHandover &command);
    [[nodiscard]] CatalogResult applyBody(const CancelHandover &command);
    [[nodiscard]] CatalogResult applyBody(const SetVoter &command);
    [[nodiscard]] CatalogResult applyBody(const MarkStopped &command);

    void change(const DeclareGroup &body, CatalogResult &result);
    void change(const DeclareRecordKind &body, CatalogResult &result);
    void change(const RemoveRecordKind &body, CatalogResult &result);
    void change(const PlanStop &body, CatalogResult &result);
    void change(const CancelStop &body, CatalogResult &result);

    [[nodiscard]] GroupRecord *group(std::string_view name) noexcept;
    [[nodiscard]] Member *member(std::string_view name) noexcept;
    [[nodiscard]] Error conflictOf(const OperatorChange &change, std::string &winner) const;
    void remember(const OperatorChange &change, const OperatorResponse &answer);
    void index(const RememberedChange &remembered);
    void touch(GroupRecord &record, CatalogResult &result);

    std::uint64_t appliedIndex_ = 0;
    std::uint64_t viewVersion_ = 0;
    Configuration configuration_;
    std::map<std::string, GroupRecord, std::less<>> groups_;
    std::deque<RememberedChange> changes_; // oldest first

    // Derived from the above.
    std::map<std::uint64_t, std::string> groupByVersion_;
    std::map<std::string, std::string, std::less<>> groupByEndpoint_;
    std::map<std::string, RememberedChange, std::less<>> changeById_;
    std::map<std::uint64_t, std::string> changeByRevision_;
};

} // namespace hyssoprock
