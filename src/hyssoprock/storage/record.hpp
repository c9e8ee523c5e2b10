#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <hyssoprock/core/result.hpp>

/// @file
/// @brief Checksummed records in a file.
///
/// A record consists of the length of the body (u32), the low half of the XXH64 of the length
/// (u32), the XXH64 of the body (u64), the body, and a non-zero trailer byte. Numbers are
/// little-endian. The length has its own checksum so that a damaged length is not treated as a torn
/// write.

namespace hyssoprock {

/// @brief Encodes a record.
/// @param body Bytes, less than 4 GiB.
[[nodiscard]] std::string encodeRecord(std::string_view body);

/// @brief Records found in a file.
struct RecordScan
{
    std::vector<std::string> bodies; ///< Intact records in order.
    std::uint64_t intactBytes = 0;   ///< Offset of the end of the last intact record.
    bool torn = false;               ///< A torn write follows the last intact record.
};

/// @brief Parses records up to the end or up to a torn write.
///
/// A torn write leaves a prefix of a record, or unwritten sectors that are read as zeros.
/// @param bytes Contents of a file.
/// @return The records, or ChecksumMismatch for damage that a torn write cannot cause.
[[nodiscard]] Result<RecordScan> scanRecords(std::string_view bytes);

} // namespace hyssoprock
