#include <hyssoprock/storage/durable_value.hpp>

#include <utility>

#include <boost/outcome/try.hpp>

#include <hyssoprock/storage/record.hpp>

namespace hyssoprock {

DurableValue::DurableValue(FileSystem &files, std::string folder, const std::string &name)
    : files_{files}
    , folder_{std::move(folder)}
    , path_{folder_ + "/" + name}
    , temporaryPath_{path_ + ".new"}
{}

Result<std::optional<std::string>> DurableValue::load() const
{
    BOOST_OUTCOME_TRY(const auto found, files_.exists(path_));
    if (!found) {
        return std::optional<std::string>{};
    }
    BOOST_OUTCOME_TRY(const auto bytes, files_.read(path_));
    auto scan = scanRecords(bytes);
    // The file was synced before it was renamed, so the cause cannot be a torn write.
    if (scan.has_error() || scan.value().torn || scan.value().bodies.size() != 1) {
        return failure(ErrorKind::ChecksumMismatch, path_ + " is damaged");
    }
    return std::optional<std::string>{std::move(scan.value().bodies.front())};
}

Result<void> DurableValue::store(std::string_view value)
{
    if (auto written = writeTemporary(value); written.has_error()) {
        // Frees the space. A file that cannot be removed is overwritten by the next call.
        (void)files_.remove(temporaryPath_);
        return written;
    }
    BOOST_OUTCOME_TRYV(files_.rename(temporaryPath_, path_));
    return files_.syncFolder(folder_);
}

Result<void> DurableValue::writeTemporary(std::string_view value)
{
    // A power loss can leave both names of a rename behind. Writing to a file that bears both would
    // change the stored value.
    (void)files_.remove(temporaryPath_);
    BOOST_OUTCOME_TRY(const auto file, files_.open(temporaryPath_));
    BOOST_OUTCOME_TRYV(file->truncate(0));
    BOOST_OUTCOME_TRYV(file->append(encodeRecord(value)));
    return file->sync();
}

} // namespace hyssoprock
