#include <hyssoprock/storage/segmented_log.hpp>

#include <charconv>
#include <utility>

#include <boost/outcome/try.hpp>

#include <hyssoprock/storage/record.hpp>

namespace hyssoprock {

namespace {

constexpr std::string_view segmentSuffix = ".log";
constexpr std::size_t numberDigits = 12;

} // namespace

SegmentedLog::SegmentedLog(FileSystem &files, std::string folder, std::uint64_t segmentBytes)
    : files_{files}
    , folder_{std::move(folder)}
    , segmentBytes_{segmentBytes}
{}

std::string SegmentedLog::pathOf(std::uint64_t number) const
{
    auto digits = std::to_string(number);
    digits.insert(0, digits.size() < numberDigits ? numberDigits - digits.size() : 0, '0');
    return folder_ + "/" + digits + std::string{segmentSuffix};
}

Result<std::vector<std::uint64_t>> SegmentedLog::findSegments() const
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
        if (!numbers.empty() && number != numbers.back() + 1) {
            return failure(ErrorKind::ChecksumMismatch,
                           "segment missing before " + folder_ + "/" + name);
        }
        numbers.push_back(number);
    }
    return numbers;
}

Result<std::vector<std::string>> SegmentedLog::open()
{
    current_.reset();
    broken_ = true;
    BOOST_OUTCOME_TRY(const auto numbers, findSegments());
    std::vector<std::string> records;
    for (const auto number : numbers) {
        BOOST_OUTCOME_TRY(const auto bytes, files_.read(pathOf(number)));
        auto scanned = scanRecords(bytes);
        if (scanned.has_error()) {
            return failure(scanned.error().kind, pathOf(number) + ": " + scanned.error().detail);
        }
        auto &scan = scanned.value();
        if (scan.torn && number != numbers.back()) {
            return failure(ErrorKind::ChecksumMismatch, pathOf(number) + ": damaged at its end");
        }
        for (auto &body : scan.bodies) {
            records.push_back(std::move(body));
        }
        syncedBytes_ = scan.intactBytes;
    }
    first_ = numbers.empty() ? 1 : numbers.front();
    number_ = numbers.empty() ? 0 : numbers.back();
    if (number_ > 0) {
        BOOST_OUTCOME_TRY(current_, files_.open(pathOf(number_)));
        // Also makes durable what a crash had left written but not synced.
        BOOST_OUTCOME_TRYV(current_->truncate(syncedBytes_));
        BOOST_OUTCOME_TRYV(current_->sync());
        BOOST_OUTCOME_TRYV(files_.syncFolder(folder_));
    }
    broken_ = false;
    return records;
}

Result<void> SegmentedLog::append(std::string_view body)
{
    if (broken_) {
        return failure(ErrorKind::StorageFailure, folder_ + " must be opened again");
    }
    if (!current_ || syncedBytes_ >= segmentBytes_) {
        return beginSegment(body);
    }
    return write(body);
}

Result<void> SegmentedLog::replaceAll(std::string_view body)
{
    if (broken_) {
        return failure(ErrorKind::StorageFailure, folder_ + " must be opened again");
    }
    BOOST_OUTCOME_TRYV(beginSegment(body));
    // Oldest first, so that no gap arises. The new record is in force already, so a segment that
    // cannot be removed does no harm; the next call tries again.
    while (first_ < number_ && files_.remove(pathOf(first_)).has_value()) {
        ++first_;
    }
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

Result<void> SegmentedLog::beginSegment(std::string_view body)
{
    const auto next = number_ + 1;
    const auto path = pathOf(next);
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
        broken_ = files_.remove(path).has_error() || files_.syncFolder(folder_).has_error();
        return written;
    }
    current_ = std::move(file);
    number_ = next;
    syncedBytes_ = encodeRecord(body).size();
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

Result<void> SegmentedLog::write(std::string_view body)
{
    const auto record = encodeRecord(body);
    auto written = current_->append(record);
    if (written.has_value()) {
        written = current_->sync();
    }
    if (written.has_error()) {
        // A record that may be on the disk although it was refused must not come back.
        broken_ = current_->truncate(syncedBytes_).has_error() || current_->sync().has_error();
        return written;
    }
    syncedBytes_ += record.size();
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

} // namespace hyssoprock
