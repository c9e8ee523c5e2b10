#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <utility>

#include <hyssoprock/core/result.hpp>
#include <hyssoprock/message/pooling.hpp>

/// @file
/// @brief Interface of a control host for endpoints and operators, independent of wire formats.

namespace hyssoprock {

/// @brief Operations that a control host offers to endpoints and operators.
class ControlService
{
public:
    using ResultCallback = std::function<void(Result<void>)>;
    /// @brief Receives the version, 0 for none, and the document as the operator sent it.
    using ReadDocumentCallback = std::function<void(Result<std::pair<std::uint64_t, std::string>>)>;

    ControlService() = default;
    ControlService(const ControlService &) = delete;
    ControlService &operator=(const ControlService &) = delete;
    virtual ~ControlService() = default;

    /// @brief Processes a heartbeat of an endpoint.
    /// @param done InvalidValue if the service is unknown; Unreachable if it cannot be checked.
    virtual void heartbeat(const EndpointRecord &record, ResultCallback done) = 0;
    /// @brief Removes an endpoint that leaves; no effect if it is unknown.
    virtual void leave(std::string_view id) = 0;
    /// @param bytes Document as the operator sent it.
    /// @param done Success once this or a higher version is committed; InvalidValue with the
    /// reason; any other error if the outcome is unknown.
    virtual void putDocument(const std::string &bytes, ResultCallback done) = 0;
    /// @brief Reads the newest acknowledged document.
    /// @param done An error if the newest version cannot be determined.
    virtual void readDocument(ReadDocumentCallback done) = 0;
};

} // namespace hyssoprock
