#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <hyssoprock/core/time.hpp>
#include <hyssoprock/deployment/deployment_document.hpp>
#include <hyssoprock/message/pooling.hpp>

/// @file
/// @brief View of the deployment on an entry host, merged from all control hosts.

namespace hyssoprock {

/// @brief Changes that result from an update.
struct DeploymentViewChanges
{
    bool endpoints = false;               ///< DeploymentView::endpoints() has changed.
    bool entryHosts = false;              ///< DeploymentView::entryHosts() has changed.
    std::vector<PrimaryRecord> primaries; ///< Primaries with a higher epoch than before.
};

/// @brief Merges the updates of all control hosts. Performs no I/O; the time is passed as an
/// argument.
///
/// A control host is live from the first update of a connection until the connection ends.
/// Endpoints that only a disconnected control host listed are retained until another control host
/// has been live for the retention time, because a control host that has just started knows no
/// endpoint until it receives heartbeats.
///
/// An incarnation that a control host reports as gone is not used even if others list it, because
/// it may have left. If that control host lists it again, or no control host that reported it as
/// gone is live any more, only its heartbeats were missing for a while, and it is used again.
class DeploymentView
{
public:
    /// @brief Creates an empty view.
    /// @param retention Time in which a control host that has just started learns of all endpoints.
    explicit DeploymentView(Duration retention);

    /// @brief Puts a document in force if its version is higher than that of the current one.
    /// @param document Document to adopt; ignored if null.
    /// @return Whether the document is in force now.
    bool adoptDocument(std::shared_ptr<const DeploymentDocument> document);

    /// @brief Merges an update, except for its document.
    /// @param controlHost Sender of the update.
    /// @param update Update to merge. Ignored before the first complete update of a connection.
    /// @param now Current time.
    [[nodiscard]] DeploymentViewChanges applyUpdate(const std::string &controlHost,
                                                    const DeploymentUpdate &update, Instant now);

    /// @brief Handles the end of the connection to a control host.
    /// @param controlHost Control host that was disconnected.
    /// @param now Current time.
    [[nodiscard]] DeploymentViewChanges handleDisconnect(const std::string &controlHost,
                                                         Instant now);

    /// @brief Removes the retained endpoints when their retention time is over.
    /// @param now Current time.
    [[nodiscard]] DeploymentViewChanges expireRetained(Instant now);

    /// @brief When expireRetained() is due.
    /// @return std::nullopt if no retention time is running.
    [[nodiscard]] std::optional<Instant> nextDeadline() const;

    /// @brief Document in force.
    /// @return Null if there is none.
    [[nodiscard]] const std::shared_ptr<const DeploymentDocument> &document() const noexcept
    {
        return document_;
    }

    /// @brief Endpoints sorted by identifier; at most one for each address.
    [[nodiscard]] const std::vector<EndpointRecord> &endpoints() const noexcept
    {
        return endpoints_;
    }

    /// @brief Number of entry hosts that share the connections of the endpoints: the highest count
    /// that a live control host reports.
    /// @return At least 1.
    [[nodiscard]] std::uint32_t entryHosts() const noexcept { return entryHosts_; }

    /// @brief Whether the newest list of any control host contains a control host.
    /// @param ip IP address of the control host.
    [[nodiscard]] bool isControlHostListed(const std::string &ip) const;

    /// @brief Removes the state of a disconnected control host, except for its retained endpoints.
    /// @param controlHost Control host; ignored while it is connected.
    void forget(const std::string &controlHost);

private:
    /// Newest record of each endpoint, by identifier.
    using Records = std::map<std::string, EndpointRecord>;

    struct Gone
    {
        std::uint64_t bornMs = 0;          ///< Newest incarnation reported as gone.
        std::set<std::string> reporters{}; ///< Control hosts that reported it as gone.
    };

    struct Source
    {
        bool live = false;
        Records endpoints{};
        std::uint32_t entryHosts = 0;
        std::vector<std::string> controlHosts{};
    };

    [[nodiscard]] bool hasLiveSource() const;
    [[nodiscard]] bool isGone(const EndpointRecord &record) const;
    static void mergeRecord(Records &records, const EndpointRecord &record);
    void markGone(const std::string &controlHost, const EndpointGone &gone);
    void clearGone(const std::string &controlHost, const EndpointRecord &record);
    [[nodiscard]] DeploymentViewChanges recompute();

    Duration retention_;
    std::shared_ptr<const DeploymentDocument> document_{};
    std::map<std::string, Source> sources_{};
    Records retained_{};
    std::optional<Instant> retainedUntil_{};
    std::map<std::string, Gone> gone_{};  ///< By endpoint identifier.
    std::deque<std::string> goneOrder_{}; ///< Identifiers that are or were in gone_, oldest first.
    std::map<std::string, PrimaryRecord> primaries_{};
    std::vector<EndpointRecord> endpoints_{};
    std::uint32_t entryHosts_ = 1;
};

} // namespace hyssoprock
