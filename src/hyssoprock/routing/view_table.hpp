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
/// @brief Host lease, group views and configuration of an entry host.

namespace hyssoprock {

/// @brief Primary of a group, and whether new work may be sent to it.
struct PrimaryStatus
{
    ErrorKind kind =
        ErrorKind::NoPrimary; ///< None if usable, else NoLease, NoPrimary or UnknownGroup.
    std::string endpoint{};   ///< Name of the primary; empty if there is none.
    std::uint64_t term = 0;   ///< Term of the view.
};

/// @brief Changes made by an applied message.
struct ViewUpdate
{
    bool accepted = false;             ///< The message was expected and has been applied.
    bool leaseExtended = false;        ///< The end of the lease was moved.
    bool configurationChanged = false; ///< A newer configuration is in force.
    bool renewalRequired = false;      ///< A push was missed; a renewal must fetch the views.
    std::vector<std::string> groups{}; ///< Groups with a new view.
};

/// @brief Lease, views and configuration of an entry host.
class ViewTable
{
public:
    /// @brief Starts without a lease.
    /// @param driftPerMille Bound of clock drift in thousandths; shortens each lease.
    explicit ViewTable(std::uint64_t driftPerMille);

    /// @brief Records when a renewal was sent, which is the start of the lease that it yields.
    /// @param sequence Sequence number of the request; increases with each request.
    /// @param now Send time.
    void recordRenewalSent(std::uint64_t sequence, Instant now);

    /// @brief Applies the response to a renewal. Responses to unknown requests are ignored.
    ViewUpdate apply(const HostRenewResponse &response);

    /// @brief Applies a push. After a gap in the versions its views are applied, but the version is
    /// not advanced.
    ViewUpdate apply(const ViewPush &push);

    /// @brief Whether the lease is valid.
    [[nodiscard]] bool leaseValid(Instant now) const noexcept;

    /// @brief End of the lease; empty without one.
    [[nodiscard]] std::optional<Instant> leaseUntil() const noexcept { return leaseUntil_; }

    /// @brief Discards the lease when this host leaves the control group.
    void dropLease() noexcept { leaseUntil_.reset(); }

    /// @brief Version of the newest view, sent with the next renewal.
    [[nodiscard]] std::uint64_t viewVersion() const noexcept { return viewVersion_; }

    /// @brief View of a group; null if unknown. Invalidated by the next apply().
    [[nodiscard]] const GroupView *view(std::string_view group) const;

    /// @brief Names of all groups, sorted.
    [[nodiscard]] std::vector<std::string> groups() const;

    /// @brief Primary of a group for new work.
    [[nodiscard]] PrimaryStatus primary(std::string_view group, Instant now) const;

    /// @brief Whether work that was sent to a primary may be finished and acknowledged. This
    /// requires a valid lease and a view with this primary in this term, active or in handover.
    [[nodiscard]] bool mayAcknowledge(std::string_view group, std::string_view endpoint,
                                      std::uint64_t term, Instant now) const;

    /// @brief Whether the view has a higher term. Work of a superseded term cannot be acknowledged.
    [[nodiscard]] bool isTermSuperseded(std::string_view group, std::uint64_t term) const;

    /// @brief Current configuration. The object is immutable, so a transaction can keep it.
    [[nodiscard]] std::shared_ptr<const Configuration> configuration() const noexcept
    {
        return configuration_;
    }

    /// @brief Hosts with a valid lease, formatted as host@dataCentre.
    [[nodiscard]] const std::vector<std::string> &hosts() const noexcept { return hosts_; }

    /// @brief Digest of hosts(), sent with the next renewal.
    [[nodiscard]] std::uint64_t hostsDigest() const noexcept { return hostsDigest_; }

    /// @brief Selects the observers of an endpoint by rendezvous hashing, from at least two data
    /// centres if possible.
    /// @param endpoint Name of the endpoint.
    /// @param count Number of observers.
    /// @return Names as host@dataCentre; equal on all hosts with the same hosts().
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

/// @brief Rule of a record kind; null if there is none. Valid as long as the configuration.
[[nodiscard]] const RecordKindRule *findRule(const Configuration &configuration,
                                             std::string_view group, std::string_view kind);

} // namespace hyssoprock
