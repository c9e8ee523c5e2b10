#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <utility>

#include <hyssoprock/core/result.hpp>
#include <hyssoprock/message/pooling.hpp>

/// @file
/// @brief What endpoints and operators ask of a control host, free of any wire format.

namespace hyssoprock {

/// @brief A control host as endpoints and operators see it.
class ControlService
{
public:
    using Done = std::function<void(Result<void>)>;
    /// @brief The newest document as the operator sent it, with its version; 0 for none.
    using ReadDocumentCallback = std::function<void(Result<std::pair<std::uint64_t, std::string>>)>;

    ControlService() = default;
    ControlService(const ControlService &) = delete;
    ControlService &operator=(const ControlService &) = delete;
    virtual ~ControlService() = default;

    /// @brief Takes a heartbeat from an endpoint.
    /// @param record The heartbeat.
    /// @param done InvalidValue if the service is unknown; Unreachable if that cannot be told.
    virtual void heartbeat(const EndpointRecord &record, Done done) = 0;
    /// @brief Takes the leave of an endpoint; an unknown one changes nothing.
    /// @param id Identifier.
    virtual void leave(std::string_view id) = 0;
    /// @brief Stores a document.
    /// @param bytes The document as the operator sent it.
    /// @param done Success once this or a higher version is durable; InvalidValue with the reason;
    /// any other error if that is not certain.
    virtual void putDocument(const std::string &bytes, Done done) = 0;
    /// @brief Reads the newest acknowledged document.
    /// @param done Any error if it is not certain which one that is.
    virtual void readDocument(ReadDocumentCallback done) = 0;
};

} // namespace hyssoprock
