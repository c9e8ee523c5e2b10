#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include <hyssoprock/core/time.hpp>
#include <hyssoprock/deployment/deployment_document.hpp>
#include <hyssoprock/message/pooling.hpp>

/// @file
/// @brief A control host's share of the limits of all teams.

namespace hyssoprock {

/// @brief What a control host knows of its group at a tick.
struct VoterView
{
    bool voter = false;       ///< Whether this host's log lists it as a voter.
    std::uint32_t voters = 0; ///< Number of voters in this host's log.
    /// When this host last led, or heard from the leader and had applied what the leader had
    /// committed. Until then the log may list voters of the past.
    std::optional<Instant> leaderContactAt{};
};

/// @brief Grants operations of teams from this host's equal share of their limits. Performs no I/O;
/// the time is passed as an argument.
///
/// Each voter of the control group owns 1/voters of a team's rate and burst, in a token bucket. An
/// operation is consumed when it is granted, so a lost message or a lost entry host never adds to
/// what a team may run, and nothing has to be returned. The sum of all grants in any span of length
/// t is at most rate x t + max(burst + tolerance, voters), because
/// - a host stops granting `leaderContactLimit` after its last contact to a leader,
/// - a host that becomes a voter grants only `settlingTime` later, from an empty bucket, when a
///   removed voter has stopped even if it does not know of its removal,
/// - a share that grows because there are fewer voters grows only `settlingTime` later,
/// - after an interruption of this process, messages that were sent before it are not mistaken for
/// a
///   contact.
class AllowanceOwner
{
public:
    /// Time after the last contact to a leader for which a voter grants.
    static constexpr Duration leaderContactLimit = std::chrono::seconds{3};
    /// A removed voter may receive a message that its leader sent before the removal at most this
    /// much later: a connection without received bytes is closed after 2 s.
    static constexpr Duration messageDelayMax = std::chrono::seconds{2};
    /// Time until removed voters have stopped granting.
    static constexpr Duration settlingTime = leaderContactLimit + messageDelayMax;

    /// @param tolerance Operations by which a team may exceed its limit in any span, over all
    /// voters. Most of them lengthen the burst, because a small burst that is divided among the
    /// voters would refuse operations that the limit allows.
    explicit AllowanceOwner(std::uint32_t tolerance = 0) noexcept
        : tolerance_{tolerance}
    {}

    /// @brief Sets the document in force. Without a document nothing is granted.
    /// @param document Must not be null.
    void setDocument(std::shared_ptr<const DeploymentDocument> document);

    /// @brief Version of the document; 0 for none.
    [[nodiscard]] std::uint64_t documentVersion() const noexcept
    {
        return document_ ? document_->version : 0;
    }

    /// @brief Updates the view of the group, about every 100 ms. A host that is a voter at the
    /// first call was one before its restart; it needs no settling time, because it does not hear
    /// from a leader if it was removed.
    void update(const VoterView &view, Instant now);

    /// @brief Whether entry hosts are to send requests to this host: it grants, and a team has a
    /// limit.
    [[nodiscard]] bool isOffering(Instant now) const;

    /// @brief Grants the available operations, at most as many as requested. All are granted if the
    /// document has no limit for the team, which the entry host does not know yet.
    [[nodiscard]] AllowanceReply handle(const AllowanceRequest &request, Instant now);

private:
    /// @brief Token bucket of a team. One operation is `unitsPerOperation` units.
    struct Bucket
    {
        std::uint64_t rate = 0;      ///< Operations per second, over all voters.
        std::uint64_t burst = 0;     ///< Over all voters.
        std::uint64_t units = 0;     ///< Available units.
        std::uint64_t remainder = 0; ///< Rest of the last division by the number of voters.
        Instant filledAt{};          ///< Time up to which the bucket was filled.
    };

    [[nodiscard]] bool isGranting(Instant now) const;
    void detectInterruption(Instant now);
    void updateShare(std::uint32_t voters, Instant now);
    void resetBuckets(Instant now);
    /// Units of a bucket that begins to grant.
    [[nodiscard]] std::uint64_t initialUnits() const noexcept;
    void fill(Bucket &bucket, Instant now) const;

    std::uint32_t tolerance_;
    std::shared_ptr<const DeploymentDocument> document_{};
    std::map<std::string, Bucket> buckets_{};   ///< Teams with a limit.
    std::optional<Instant> lastCallAt_{};       ///< For detectInterruption().
    bool updated_ = false;                      ///< Whether update() was called.
    std::optional<Instant> grantsFrom_{};       ///< Empty while this host is no voter.
    std::optional<Instant> leaderContactAt_{};  ///< See VoterView.
    std::optional<Instant> contactsFrom_{};     ///< Earlier contacts do not count.
    std::uint32_t shares_ = 0;                  ///< Number of shares of a limit; 0 if unknown.
    std::optional<Instant> fewerVotersSince_{}; ///< Since when shares_ exceeds the voters.
    bool granting_ = false;                     ///< Whether the last update() allowed grants.
};

} // namespace hyssoprock
