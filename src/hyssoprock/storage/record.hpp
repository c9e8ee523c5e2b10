#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <hyssoprock/core/result.hpp>

/// @file
/// @brief Checksummed records in a file.
///
/// A record is: length of the body (u32), low half of the XXH64 of the length (u32), XXH64 of the
/// body (u64), the body, and one closing byte that is not zero; numbers are little-endian. The
/// length has a checksum of its own so that a damaged length is not taken for a torn write.

namespace hyssoprock {

/// @brief Bytes of a record.
/// @param body Any bytes below 4 GiB.
[[nodiscard]] std::string encodeRecord(std::string_view body);

/// @brief The records of a file.
struct RecordScan
{
    std::vector<std::string> bodies; ///< Intact records in order.
    std::uint64_t intactBytes = 0;   ///< Where the last intact record ends.
    bool torn = false;               ///< A write after it was cut off by a crash.
};

/// @brief Reads records up to the end or to a torn write.
///
/// A torn write leaves a prefix of a record, or sectors that were never written and read as zeros.
/// @param bytes Contents of a file.
/// @return The records, or ChecksumMismatch for damage that no torn write explains.
[[nodiscard]] Result<RecordScan> scanRecords(std::string_view bytes);

} // namespace hyssoprock
