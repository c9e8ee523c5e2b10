#pragma once

#include <map>
#include <string>
#include <utility>
#include <vector>

#include <hyssoprock/request/endpoint_dialect.hpp>

#include "golden_world.hpp"

/// @file
/// @brief Hosts and sessions of a GoldenWorld.

namespace hyssoprock::golden {

inline constexpr std::uint64_t driftPerMille = 10;
inline constexpr auto majorityPollInterval = std::chrono::milliseconds{5};

struct GoldenWorld::Host
{
    explicit Host(std::string hostName)
        : name{std::move(hostName)}
    {}

    std::string name;
    HostTables tables{{"position_aware", "dc-a"}, driftPerMille, majorityPollInterval, 1};
    std::map<std::string, std::vector<std::pair<ConnectionId, std::string>>> idle{};
    std::uint64_t sequence = 0;
    Instant nextRenewal{};
    bool cutOff = false;
};

struct GoldenWorld::Session
{
    struct PendingAcquire
    {
        AcquireConnection request;
        Instant grantAt;
    };

    std::uint64_t number;
    Host &host;
    SessionMachine machine;
    std::vector<PendingAcquire> pendingAcquires{};
    std::map<ConnectionId, std::string> connections{}; ///< Endpoint by acquired connection.
    SendCommand sent{};
    EndpointQuery query{}; ///< Text of `sent`.
    std::string token{};
    bool closed = false;
};

} // namespace hyssoprock::golden
