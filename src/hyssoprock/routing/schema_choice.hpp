#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <hyssoprock/core/log_position.hpp>
#include <hyssoprock/core/result.hpp>
#include <hyssoprock/message/common.hpp>

/// @file
/// @brief Selection of the schema versions that an answer may contain.

namespace hyssoprock {

/// @brief Schema versions to request from an endpoint.
struct SchemaChoice
{
    std::vector<std::uint32_t> versions{}; ///< Ascending; empty for no restriction.
    LogPosition completeFrom{};            ///< Least position of a valid answer.

    [[nodiscard]] bool operator==(const SchemaChoice &) const = default;
};

/// @brief Selects the versions for a read.
/// @param rule Rule of the record kind.
/// @param understands Versions that the caller understands, ascending; empty if not specified.
/// @param position Position of the endpoint; empty for a primary, whose answer is validated
/// instead.
/// @return All coexisting versions if the caller understands them all, otherwise the highest
/// understood one that is complete at the position, or ErrorKind::VersionNotUnderstood.
[[nodiscard]] Result<SchemaChoice> chooseSchema(const RecordKindRule &rule,
                                                const std::vector<std::uint32_t> &understands,
                                                const std::optional<LogPosition> &position);

/// @brief Checks a write against the rule of its record kind.
/// @param version Version that the caller writes; empty if not specified.
/// @return ErrorKind::None, or VersionNotWritable. Without a version the write is accepted only if
/// every coexisting version is writable.
[[nodiscard]] ErrorKind checkWritable(const RecordKindRule &rule,
                                      const std::optional<std::uint32_t> &version);

/// @brief Value of `hyssoprock.schema_versions`, for example "1,2"; empty for no restriction.
[[nodiscard]] std::string toSetting(const SchemaChoice &choice);

} // namespace hyssoprock
