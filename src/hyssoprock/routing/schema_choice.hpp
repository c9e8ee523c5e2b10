#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <hyssoprock/core/log_position.hpp>
#include <hyssoprock/core/result.hpp>
#include <hyssoprock/message/common.hpp>

/// @file
/// @brief Choice of the schema versions that an answer may hold.

namespace hyssoprock {

/// @brief Versions that are requested from an endpoint.
struct SchemaChoice
{
    std::vector<std::uint32_t> versions{}; ///< Ascending; empty for no restriction.
    LogPosition completeFrom{};            ///< The answer's position must have reached this.

    [[nodiscard]] bool operator==(const SchemaChoice &) const = default;
};

/// @brief Chooses the versions for a read.
/// @param rule Rule of the record kind.
/// @param understands Versions that the caller understands, ascending; empty for "not stated".
/// @param position Endpoint's position; nothing for a primary, whose answer is checked instead.
/// @return All coexisting versions if the caller understands them all, otherwise the highest
/// understood one that is complete at the position, or ErrorKind::VersionNotUnderstood.
[[nodiscard]] Result<SchemaChoice> chooseSchema(const RecordKindRule &rule,
                                                const std::vector<std::uint32_t> &understands,
                                                const std::optional<LogPosition> &position);

/// @brief Checks a write against the rule.
/// @param version Version that the caller writes; nothing if it did not say.
/// @return ErrorKind::None, or VersionNotWritable. An unstated version is accepted only if every
/// coexisting version may be written.
[[nodiscard]] ErrorKind checkWritable(const RecordKindRule &rule,
                                      const std::optional<std::uint32_t> &version);

/// @brief Value of `hyssoprock.schema_versions`, for example "1,2"; empty for no restriction.
[[nodiscard]] std::string toSetting(const SchemaChoice &choice);

} // namespace hyssoprock
