#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <hyssoprock/core/result.hpp>
#include <hyssoprock/core/time.hpp>
#include <hyssoprock/message/control.hpp>

/// @file
/// @brief Host lease and views as the holder sees them.

namespace hyssoprock {

/// @brief Whether new work may be sent to a group's primary, and to which one.
struct PrimaryStatus
{
    ErrorKind kind = ErrorKind::NoPrimary; ///< None if usable; NoLease, NoPrimary, UnknownGroup.
    std::string endpoint{};                ///< Name of the primary, if there is one.
    std::uint64_t term = 0;                ///< Term of the view.
};

/// @brief What an applied message has changed.
struct ViewUpdate
{
    bool accepted = false;             ///< The message was in order and has been applied.
    bool leaseExtended = false;        ///< The lease is valid for longer.
    bool configurationChanged = false; ///< A newer configuration is in force.
    bool renewalRequired = false;      ///< A push was missed: renew at once to fetch the views.
    std::vector<std::string> groups{}; ///< Groups with a new view.
};

/// @brief Lease, views and configuration of an entry host.
class ViewTable
{
public:
    /// @brief Makes an empty table without a lease.
    /// @param driftPerMille Bound of clock drift in thousandths; shortens each lease.
    explicit ViewTable(std::uint64_t driftPerMille);

    /// @brief Notes when a renewal was sent: the lease counts from here.
    /// @param sequence Sequence number of the request; rises.
    /// @param now Time of sending.
    void recordRenewalSent(std::uint64_t sequence, Instant now);

    /// @brief Applies the answer to a renewal. Answers to unknown requests are ignored.
    ViewUpdate apply(const HostRenewResponse &response);

    /// @brief Applies a push. One that follows on a version that this host has not seen is ignored.
    ViewUpdate apply(const ViewPush &push);

    /// @brief Whether the lease is valid.
    [[nodiscard]] bool leaseValid(Instant now) const noexcept;

    /// @brief End of the lease.
    [[nodiscard]] std::optional<Instant> leaseUntil() const noexcept { return leaseUntil_; }

    /// @brief Ends the lease at once, after this host has told the control group that it leaves.
    void dropLease() noexcept { leaseUntil_.reset(); }

    /// @brief Version of the newest view, for the next renewal.
    [[nodiscard]] std::uint64_t viewVersion() const noexcept { return viewVersion_; }

    /// @brief View of a group.
    /// @return The view, or null. Invalid after the next apply().
    [[nodiscard]] const GroupView *view(std::string_view group) const;

    /// @brief Names of all groups, sorted.
    [[nodiscard]] std::vector<std::string> groups() const;

    /// @brief Whether new work may go to a group's primary now.
    [[nodiscard]] PrimaryStatus primary(std::string_view group, Instant now) const;

    /// @brief Whether work that was sent to a primary may be finished and acknowledged: the lease
    /// is valid and the view has this primary in this term, be it active or in handover.
    [[nodiscard]] bool mayAcknowledge(std::string_view group, std::string_view endpoint,
                                      std::uint64_t term, Instant now) const;

    /// @brief Whether a term is over: the view has a higher one. What was sent in it can no longer
    /// be acknowledged.
    [[nodiscard]] bool isTermSuperseded(std::string_view group, std::uint64_t term) const;

    /// @brief Configuration in force. The object is never modified, so a transaction can keep it.
    [[nodiscard]] std::shared_ptr<const Configuration> configuration() const noexcept
    {
        return configuration_;
    }

    /// @brief Hosts with a valid lease, as host@dataCentre.
    [[nodiscard]] const std::vector<std::string> &hosts() const noexcept { return hosts_; }

    /// @brief Digest of hosts(), for the next renewal.
    [[nodiscard]] std::uint64_t hostsDigest() const noexcept { return hostsDigest_; }

    /// @brief Observers of an endpoint by rendezvous hashing, in at least two data centres where
    /// there are two.
    /// @param endpoint Name of the endpoint.
    /// @param count Number of observers wanted.
    /// @return Names as host@dataCentre; the same on every host that knows the same hosts.
    [[nodiscard]] std::vector<std::string> observers(std::string_view endpoint,
                                                     std::size_t count) const;

private:
    void applyViews(const std::vector<GroupView> &views, ViewUpdate &update);
    void applyConfiguration(const std::optional<Configuration> &configuration, ViewUpdate &update);

    std::uint64_t driftPerMille_;
    std::map<std::uint64_t, Instant> renewals_;
    std::optional<Instant> leaseUntil_;
    std::uint64_t viewVersion_ = 0;
    std::map<std::string, GroupView, std::less<>> views_;
    std::shared_ptr<const Configuration> configuration_;
    std::vector<std::string> hosts_;
    std::uint64_t hostsDigest_ = 0;
};

/// @brief Rule of a record kind.
/// @return The rule, or null. Valid as long as the configuration.
[[nodiscard]] const RecordKindRule *findRule(const Configuration &configuration,
                                             std::string_view group, std::string_view kind);

} // namespace hyssoprock
