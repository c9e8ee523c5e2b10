#pragma once

#include <cstddef>
#include <string_view>

#include <hyssoprock/daemon/operator/operator_client.hpp>

#include "console.hpp"

/// @file
/// @brief Commands of hyssoprockctl.

namespace hyssoprock {

/// @brief A command that asks the control group of a PostgreSQL deployment.
struct Command
{
    std::string_view name;
    std::size_t least; ///< Fewest arguments.
    std::size_t most;  ///< Most arguments.
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
/// @param arguments The words after `pooled`.
[[nodiscard]] int runPooled(const Console &console, const Arguments &arguments);

/// @brief Runs a command line whose flags have been read.
/// @param words Command and arguments.
/// @return Exit status.
[[nodiscard]] int runCommandLine(const Console &console, const Arguments &words);

} // namespace hyssoprock
