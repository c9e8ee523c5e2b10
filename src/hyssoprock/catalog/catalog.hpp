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
/// @brief Replicated state machine of the control group.

namespace hyssoprock {

/// @brief Outcome of one command, equal on every replica.
struct CatalogResult
{
    OperatorResponse answer;                ///< Kind None if the command took effect.
    std::vector<std::string> changedGroups; ///< Groups whose view has changed, sorted.
    bool configurationChanged = false; ///< Whether there is a new revision of the configuration.

    [[nodiscard]] bool operator==(const CatalogResult &) const = default;
};

/// @brief Groups, members, terms, primaries, record kinds, planned stops and operators' changes.
///
/// It is changed only by committed commands, in log order. A command that the current state does
/// not allow has no effect and returns an error in its result, so a leader may propose a command
/// twice.
class Catalog
{
public:
    /// @brief Maximum number of operators' changes that are kept to detect repetitions. A change
    /// that is repeated after more changes gets a revision conflict instead of its first response;
    /// it is never applied twice.
    static constexpr std::size_t rememberedChangesMax = 10000;

    /// @brief Applies a committed command.
    /// @param command The command.
    /// @param logIndex Its log index, which must exceed that of every earlier command.
    /// @return The outcome.
    CatalogResult apply(const CatalogCommand &command, std::uint64_t logIndex);

    /// @brief Encodes the whole state for a snapshot of the log.
    /// @return Encoded CatalogSnapshot.
    [[nodiscard]] std::string encodeSnapshot() const;

    /// @brief Replaces the whole state.
    /// @param bytes Result of encodeSnapshot().
    /// @return ProtocolViolation if the bytes are invalid; the state is then unchanged.
    Result<void> restoreSnapshot(std::string_view bytes);

    /// @brief Log index of the newest applied command.
    [[nodiscard]] std::uint64_t appliedIndex() const noexcept { return appliedIndex_; }

    /// @brief View version of the newest change of any group.
    [[nodiscard]] std::uint64_t viewVersion() const noexcept { return viewVersion_; }

    /// @brief Configuration declared by operators.
    [[nodiscard]] const Configuration &configuration() const noexcept { return configuration_; }

    /// @brief All groups by name.
    [[nodiscard]] const std::map<std::string, GroupRecord, std::less<>> &groups() const noexcept
    {
        return groups_;
    }

    /// @brief Finds a group.
    /// @param name Name of the group.
    /// @return The group, or null.
    [[nodiscard]] const GroupRecord *findGroup(std::string_view name) const noexcept;

    /// @brief Finds an endpoint.
    /// @param name Name of the endpoint.
    /// @return The member, or null.
    [[nodiscard]] const Member *findMember(std::string_view name) const noexcept;

    /// @brief Finds the group of an endpoint.
    /// @param endpoint Name of the endpoint.
    /// @return The group, or null.
    [[nodiscard]] const GroupRecord *groupOf(std::string_view endpoint) const noexcept;

    /// @brief Views that have changed since a view version.
    /// @param version View version of a host; 0 for all views.
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
    [[nodiscard]] Error checkBaseRevision(const OperatorChange &change, std::string &winner) const;
    void recordChange(const OperatorChange &change, const OperatorResponse &answer);
    void indexChange(const RememberedChange &entry);
    void advanceVersion(GroupRecord &record, CatalogResult &result);

    std::uint64_t appliedIndex_ = 0;
    std::uint64_t viewVersion_ = 0;
    Configuration configuration_;
    std::map<std::string, GroupRecord, std::less<>> groups_;
    std::deque<RememberedChange> recordedChanges_; // oldest first

    // Indexes, derived from the members above.
    std::map<std::uint64_t, std::string> groupByVersion_;
    std::map<std::string, std::string, std::less<>> groupByEndpoint_;
    std::map<std::string, RememberedChange, std::less<>> changeById_;
    std::map<std::uint64_t, std::string> changeByRevision_;
};

} // namespace hyssoprock
