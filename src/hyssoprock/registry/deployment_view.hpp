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
/// @brief What an entry host knows, merged from all control hosts.

namespace hyssoprock {

/// @brief What an update has changed.
struct DeploymentViewChanges
{
    bool endpoints = false;               ///< DeploymentView::endpoints() differs.
    bool entryHosts = false;              ///< DeploymentView::entryHosts() differs.
    std::vector<PrimaryRecord> primaries; ///< Primaries with a higher epoch than before.
};

/// @brief Merges what control hosts tell. Time is an argument.
///
/// A control host is live from the first update of a connection until the connection ends.
/// Endpoints that only a lost control host told of are retained until another control host has been
/// live for the retention time: a control host that has just started knows no endpoint until it has
/// received heartbeats.
///
/// An incarnation that a control host calls gone is not used, whatever others list: it may have
/// left. If that control host lists it again, or no control host that called it gone is live any
/// more, it was only not heard for a while, and is used again.
class DeploymentView
{
public:
    /// @brief Starts without knowledge.
    /// @param retention Time in which a control host that has just started learns all endpoints.
    explicit DeploymentView(Duration retention);

    /// @brief Puts a document in force if its version is higher than any before.
    /// @param document The document.
    /// @return Whether it is in force now.
    bool adoptDocument(std::shared_ptr<const DeploymentDocument> document);

    /// @brief Merges an update, except for its document.
    /// @param controlHost Who sent it.
    /// @param update The update; anything before the first complete one of a connection is ignored.
    /// @param now Present time.
    /// @return What has changed.
    [[nodiscard]] DeploymentViewChanges applyUpdate(const std::string &controlHost,
                                                    const DeploymentUpdate &update, Instant now);

    /// @brief Notes that the connection to a control host has ended.
    /// @param controlHost Whose.
    /// @param now Present time.
    /// @return What has changed.
    [[nodiscard]] DeploymentViewChanges handleDisconnect(const std::string &controlHost,
                                                         Instant now);

    /// @brief Drops retained endpoints whose time has come.
    /// @param now Present time.
    /// @return What has changed.
    [[nodiscard]] DeploymentViewChanges expireRetained(Instant now);

    /// @brief When expireRetained() is due.
    /// @return Nothing if nothing is going to expireRetained.
    [[nodiscard]] std::optional<Instant> nextDeadline() const;

    /// @brief Document in force.
    /// @return Null if there is none.
    [[nodiscard]] const std::shared_ptr<const DeploymentDocument> &document() const noexcept
    {
        return document_;
    }

    /// @brief Endpoints, sorted by identifier; at most one at each address.
    [[nodiscard]] const std::vector<EndpointRecord> &endpoints() const noexcept
    {
        return endpoints_;
    }

    /// @brief Entry hosts that share the endpoints' connections: the most that a live control host
    /// counts.
    /// @return At least 1.
    [[nodiscard]] std::uint32_t entryHosts() const noexcept { return entryHosts_; }

    /// @brief Whether a control host's newest list names a control host.
    /// @param ip IP number.
    [[nodiscard]] bool isControlHostListed(const std::string &ip) const;

    /// @brief Forgets what a control host told, except for its endpoints.
    /// @param controlHost A control host that is not connected.
    void forget(const std::string &controlHost);

private:
    /// Newest record of each endpoint, by identifier.
    using Records = std::map<std::string, EndpointRecord>;

    struct Gone
    {
        std::uint64_t bornMs = 0;        ///< Newest incarnation that is gone.
        std::set<std::string> tellers{}; ///< Control hosts that called it gone.
    };

    struct Source
    {
        bool live = false;
        Records endpoints{};
        std::uint32_t entryHosts = 0;
        std::vector<std::string> controlHosts{};
    };

    [[nodiscard]] bool anyLive() const;
    [[nodiscard]] bool isGone(const EndpointRecord &record) const;
    static void take(Records &records, const EndpointRecord &record);
    void remove(const std::string &controlHost, const EndpointGone &gone);
    void readmit(const std::string &controlHost, const EndpointRecord &record);
    [[nodiscard]] DeploymentViewChanges recompute();

    Duration retention_;
    std::shared_ptr<const DeploymentDocument> document_{};
    std::map<std::string, Source> sources_{};
    Records retained_{};
    std::optional<Instant> retainedUntil_{};
    std::map<std::string, Gone> gone_{};  ///< By identifier.
    std::deque<std::string> goneOrder_{}; ///< Identifiers that are or were in gone_, oldest first.
    std::map<std::string, PrimaryRecord> primaries_{};
    std::vector<EndpointRecord> endpoints_{};
    std::uint32_t entryHosts_ = 1;
};

} // namespace hyssoprock
