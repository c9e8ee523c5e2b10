#pragma once

/// @file
/// @brief Help text of hyssoprockctl.

namespace hyssoprock {

/// @brief Printed by --help and after a usage error.
constexpr const char *usageText =
    "operator tool of hyssoprock\n\n"
    "  hyssoprockctl --control name=IP:port,... COMMAND\n\n"
    "  declare-group GROUP [--instances N]\n"
    "  declare-kind GROUP KIND [--max_age_ms N] [--replicas] [--versions 1,2:3/17:ro]\n"
    "  remove-kind GROUP KIND\n"
    "  plan-stop ENDPOINT\n"
    "  cancel-stop ENDPOINT\n"
    "  add-control HOST\n"
    "  remove-control HOST\n"
    "  status [GROUP]\n"
    "  follow REVISION\n\n"
    "  hyssoprockctl pooled status ADDRESS... [--watch [--interval_ms N] [--count N]]\n\n"
    "ADDRESS is IP:port of the internal interface of a control host\n"
    "exit status: 0 done, 2 usage, 3 refused, 4 conflict, 5 unreachable\n";

} // namespace hyssoprock
