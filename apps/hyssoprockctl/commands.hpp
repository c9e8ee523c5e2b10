#pragma once

#include <cstddef>
#include <string_view>

#include <hyssoprock/daemon/operator/operator_client.hpp>

#include "console.hpp"

/// @file
/// @brief Commands of hyssoprockctl.

namespace hyssoprock {

/// @brief A command that sends requests to the control group of a PostgreSQL deployment.
struct Command
{
    std::string_view name;
    std::size_t argumentCountMin;
    std::size_t argumentCountMax;
    int (*run)(const Console &, OperatorClient &, const Arguments &);
};

// Changes: change_commands.cpp.
[[nodiscard]] int declareGroup(const Console &console, OperatorClient &client,
                               const Arguments &arguments);
[[nodiscard]] int declareKind(const Console &console, OperatorClient &client,
                              const Arguments &arguments);
[[nodiscard]] int removeKind(const Console &console, OperatorClient &client,
                             const Arguments &arguments);
[[nodiscard]] int planStop(const Console &console, OperatorClient &client,
                           const Arguments &arguments);
[[nodiscard]] int cancelStop(const Console &console, OperatorClient &client,
                             const Arguments &arguments);
[[nodiscard]] int addControl(const Console &console, OperatorClient &client,
                             const Arguments &arguments);
[[nodiscard]] int removeControl(const Console &console, OperatorClient &client,
                                const Arguments &arguments);

// Status: status_commands.cpp.
[[nodiscard]] int status(const Console &console, OperatorClient &client,
                         const Arguments &arguments);
[[nodiscard]] int followRevision(const Console &console, OperatorClient &client,
                                 const Arguments &arguments);
/// @brief Waits until a revision is in force everywhere, for at most --timeout_ms.
[[nodiscard]] int follow(const Console &console, OperatorClient &client, std::uint64_t revision);

// Pooled deployment: pooled_commands.cpp.
/// @brief Runs `pooled COMMAND ...`.
/// @param arguments Command-line arguments after `pooled`.
[[nodiscard]] int runPooled(const Console &console, const Arguments &arguments);

/// @brief Runs the command of a command line; flags must have been parsed before.
/// @param words Command and its arguments, without flags.
/// @return Exit status.
[[nodiscard]] int runCommandLine(const Console &console, const Arguments &words);

} // namespace hyssoprock
