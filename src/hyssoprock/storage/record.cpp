#include <hyssoprock/storage/record.hpp>

#include <algorithm>
#include <limits>

#include <xxhash.h>

#include <hyssoprock/core/invariant.hpp>

namespace hyssoprock {

namespace {

constexpr std::size_t lengthBytes = 4;
constexpr std::size_t headerBytes = 16;
constexpr char trailerByte = '\x5a';
// Disks write whole sectors. After a crash some of them may be unwritten.
constexpr std::size_t sectorBytes = 512;

void appendLittleEndian(std::string &bytes, std::uint64_t number, std::size_t width)
{
    for (std::size_t i = 0; i < width; ++i) {
        bytes.push_back(static_cast<char>(number >> (8 * i)));
    }
}

std::uint64_t parseLittleEndian(std::string_view bytes, std::size_t width)
{
    std::uint64_t number = 0;
    for (std::size_t i = 0; i < width; ++i) {
        number |= static_cast<std::uint64_t>(static_cast<unsigned char>(bytes[i])) << (8 * i);
    }
    return number;
}

std::uint64_t checksum(std::string_view bytes)
{
    return XXH64(bytes.data(), bytes.size(), 0);
}

std::uint64_t lengthChecksum(std::string_view length)
{
    return checksum(length) & std::numeric_limits<std::uint32_t>::max();
}

/// @brief Whether the part of the range in any one sector consists of zeros only.
bool hasUnwrittenSector(std::string_view bytes, std::size_t begin, std::size_t end)
{
    while (begin < end) {
        const auto sectorEnd = std::min(end, (begin / sectorBytes + 1) * sectorBytes);
        const auto part = bytes.substr(begin, sectorEnd - begin);
        if (part.find_first_not_of('\0') == std::string_view::npos) {
            return true;
        }
        begin = sectorEnd;
    }
    return false;
}

} // namespace

std::string encodeRecord(std::string_view body)
{
    check(body.size() <= std::numeric_limits<std::uint32_t>::max(),
          "a record body is smaller than 4 GiB");
    std::string bytes;
    bytes.reserve(headerBytes + body.size() + 1);
    appendLittleEndian(bytes, body.size(), lengthBytes);
    appendLittleEndian(bytes, lengthChecksum(bytes), 4);
    appendLittleEndian(bytes, checksum(body), 8);
    bytes.append(body);
    bytes.push_back(trailerByte);
    return bytes;
}

Result<RecordScan> scanRecords(std::string_view bytes)
{
    RecordScan scan;
    std::size_t begin = 0;
    while (begin < bytes.size()) {
        const auto rest = bytes.substr(begin);
        auto end = bytes.size();
        if (rest.size() >= headerBytes
            && parseLittleEndian(rest.substr(lengthBytes), 4)
                   == lengthChecksum(rest.substr(0, lengthBytes))) {
            const auto length = parseLittleEndian(rest, lengthBytes);
            const auto recordBytes = headerBytes + length + 1;
            if (rest.size() >= recordBytes) {
                const auto body = rest.substr(headerBytes, length);
                end = begin + recordBytes;
                if (parseLittleEndian(rest.substr(8), 8) == checksum(body)
                    && rest[recordBytes - 1] == trailerByte) {
                    scan.bodies.emplace_back(body);
                    begin = end;
                    continue;
                }
            } else {
                scan.torn = true;
                break;
            }
        } else if (rest.size() < headerBytes) {
            scan.torn = true;
            break;
        }
        // Each record is synced before the next is written, so only the last one can be torn.
        if (end == bytes.size() && hasUnwrittenSector(bytes, begin, end)) {
            scan.torn = true;
            break;
        }
        return failure(ErrorKind::ChecksumMismatch,
                       "damaged record at byte " + std::to_string(begin));
    }
    scan.intactBytes = begin;
    return scan;
}

} // namespace hyssoprock
