#include <hyssoprock/storage/segmented_log.hpp>

#include <algorithm>
#include <charconv>
#include <cstddef>
#include <iterator>
#include <utility>

#include <boost/outcome/try.hpp>

#include <hyssoprock/storage/record.hpp>

namespace hyssoprock {

namespace {

constexpr std::string_view segmentSuffix = ".log";
constexpr std::size_t segmentNumberDigitCount = 12;

} // namespace

SegmentedLog::SegmentedLog(FileSystem &files, std::string folder, std::uint64_t segmentBytes)
    : files_{files}
    , folder_{std::move(folder)}
    , segmentBytes_{segmentBytes}
{}

std::string SegmentedLog::segmentPath(std::uint64_t number) const
{
    auto digits = std::to_string(number);
    digits.insert(
        0, digits.size() < segmentNumberDigitCount ? segmentNumberDigitCount - digits.size() : 0,
        '0');
    return folder_ + "/" + digits + std::string{segmentSuffix};
}

Result<std::vector<std::uint64_t>> SegmentedLog::listSegments() const
{
    BOOST_OUTCOME_TRY(const auto names, files_.list(folder_));
    std::vector<std::uint64_t> numbers;
    for (const auto &name : names) {
        if (!name.ends_with(segmentSuffix)) {
            continue;
        }
        std::uint64_t number = 0;
        const auto *end = name.data() + name.size() - segmentSuffix.size();
        const auto [stop, error] = std::from_chars(name.data(), end, number);
        if (error != std::errc{} || stop != end) {
            return failure(ErrorKind::StorageFailure, "unexpected file " + folder_ + "/" + name);
        }
        numbers.push_back(number);
    }
    return numbers;
}

Result<std::vector<std::string>>
SegmentedLog::open(const std::function<bool(std::string_view)> &replacesAll)
{
    currentFile_.reset();
    mustReopen_ = true;
    BOOST_OUTCOME_TRY(auto numbers, listSegments());
    std::vector<std::vector<std::string>> segments; // Newest first.
    auto unread = numbers.size();
    auto replaced = false;
    while (unread > 0 && !replaced) {
        const auto number = numbers[unread - 1];
        if (unread < numbers.size() && number + 1 != numbers[unread]) {
            return failure(ErrorKind::ChecksumMismatch,
                           "missing segment before " + segmentPath(numbers[unread]));
        }
        BOOST_OUTCOME_TRY(const auto bytes, files_.read(segmentPath(number)));
        auto scanned = scanRecords(bytes);
        if (scanned.has_error()) {
            return failure(scanned.error().kind,
                           segmentPath(number) + ": " + scanned.error().detail);
        }
        auto &scan = scanned.value();
        const auto last = unread == numbers.size();
        if (scan.torn && !last) {
            return failure(ErrorKind::ChecksumMismatch,
                           segmentPath(number) + ": damaged record at the end");
        }
        if (last) {
            syncedBytes_ = scan.intactBytes;
        }
        replaced = replacesAll && !scan.bodies.empty() && replacesAll(scan.bodies.front());
        segments.push_back(std::move(scan.bodies));
        --unread;
    }
    currentSegment_ = numbers.empty() ? 0 : numbers.back();
    if (currentSegment_ > 0) {
        BOOST_OUTCOME_TRY(currentFile_, files_.open(segmentPath(currentSegment_)));
        // Also syncs records that were written but not synced before a crash.
        BOOST_OUTCOME_TRYV(currentFile_->truncate(syncedBytes_));
        BOOST_OUTCOME_TRYV(currentFile_->sync());
        BOOST_OUTCOME_TRYV(files_.syncFolder(folder_));
        numbers.pop_back();
    }
    earlierSegments_.assign(numbers.begin(), numbers.begin() + static_cast<std::ptrdiff_t>(unread));
    removeSegments(earlierSegments_);
    earlierSegments_.insert(earlierSegments_.end(),
                            numbers.begin() + static_cast<std::ptrdiff_t>(unread), numbers.end());
    mustReopen_ = false;
    std::vector<std::string> records;
    for (auto segment = segments.rbegin(); segment != segments.rend(); ++segment) {
        std::move(segment->begin(), segment->end(), std::back_inserter(records));
    }
    return records;
}

Result<void> SegmentedLog::append(std::string_view body)
{
    if (mustReopen_) {
        return failure(ErrorKind::StorageFailure, folder_ + " must be opened again");
    }
    if (!currentFile_ || syncedBytes_ >= segmentBytes_) {
        return startSegment(body);
    }
    return writeRecord(body);
}

Result<void> SegmentedLog::replaceAll(std::string_view body)
{
    if (mustReopen_) {
        return failure(ErrorKind::StorageFailure, folder_ + " must be opened again");
    }
    BOOST_OUTCOME_TRYV(startSegment(body));
    removeSegments(earlierSegments_);
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

void SegmentedLog::removeSegments(std::vector<std::uint64_t> &numbers)
{
    std::erase_if(numbers, [this](std::uint64_t number) {
        return files_.remove(segmentPath(number)).has_value();
    });
}

Result<void> SegmentedLog::startSegment(std::string_view body)
{
    const auto next = currentSegment_ + 1;
    const auto path = segmentPath(next);
    BOOST_OUTCOME_TRY(auto file, files_.open(path));
    auto written = file->append(encodeRecord(body));
    if (written.has_value()) {
        written = file->sync();
    }
    if (written.has_value()) {
        written = files_.syncFolder(folder_);
    }
    if (written.has_error()) {
        file.reset();
        mustReopen_ = files_.remove(path).has_error() || files_.syncFolder(folder_).has_error();
        return written;
    }
    currentFile_ = std::move(file);
    if (currentSegment_ > 0) {
        earlierSegments_.push_back(currentSegment_);
    }
    currentSegment_ = next;
    syncedBytes_ = encodeRecord(body).size();
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

Result<void> SegmentedLog::writeRecord(std::string_view body)
{
    const auto record = encodeRecord(body);
    auto written = currentFile_->append(record);
    if (written.has_value()) {
        written = currentFile_->sync();
    }
    if (written.has_error()) {
        // The record may have reached the disk, but must not be read after an error was returned.
        mustReopen_ =
            currentFile_->truncate(syncedBytes_).has_error() || currentFile_->sync().has_error();
        return written;
    }
    syncedBytes_ += record.size();
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

} // namespace hyssoprock
