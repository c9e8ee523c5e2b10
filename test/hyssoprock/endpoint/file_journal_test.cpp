#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <string>

#include <criterion/criterion.h>

#include <hyssoprock/core/scope_guard.hpp>
#include <hyssoprock/endpoint/file_journal.hpp>

using namespace hyssoprock;
using namespace hyssoprock::endpoint;

namespace {

struct Folder
{
    Folder() = default;
    Folder(const Folder &) = delete;
    Folder &operator=(const Folder &) = delete;
    ~Folder() { std::filesystem::remove_all(path); }

    [[nodiscard]] std::string file() const { return path + "/journal.log"; }

    std::string path =
        std::filesystem::temp_directory_path() / ("journal-" + std::to_string(getpid()));
};

TransactionEntry entry(std::uint64_t term, std::uint64_t index)
{
    return {{term, index}, {{RowChangeKind::Insert, "t", index, {{"id", "x"}}}}};
}

void fill(const Folder &folder)
{
    auto journal = FileJournal::open(folder.path);
    cr_assert(journal.has_value());
    journal.value().fence(3);
    for (std::uint64_t i = 1; i <= 4; ++i) {
        journal.value().append(entry(3, i));
    }
    journal.value().truncateAfter(2);
    journal.value().append(entry(4, 3));
}

} // namespace

// Guards against a restart that loses the fenced term or restores truncated entries.
Test(fileJournal, contentSurvivesARestart)
{
    const Folder folder;
    fill(folder);
    auto journal = FileJournal::open(folder.path);
    const auto content = journal.value().takeContent();
    cr_assert_eq(content.fencedTerm, 3);
    cr_assert_eq(content.entries.size(), 3);
    cr_assert(content.entries[2] == entry(4, 3));
}

// Guards against an incomplete last record that prevents a restart or makes later records
// unreadable.
Test(fileJournal, tornRecordIsCutOff)
{
    const Folder folder;
    fill(folder);
    std::filesystem::resize_file(folder.file(), std::filesystem::file_size(folder.file()) - 1);
    {
        auto journal = FileJournal::open(folder.path);
        cr_assert_eq(journal.value().takeContent().entries.size(), 2);
        journal.value().append(entry(5, 3));
    }
    auto journal = FileJournal::open(folder.path);
    cr_assert(journal.value().takeContent().entries.back() == entry(5, 3));
}

// Guards against starting from a file with a corrupt record before its end.
Test(fileJournal, damageIsAnError)
{
    const Folder folder;
    fill(folder);
    std::fstream file{folder.file(), std::ios::in | std::ios::out | std::ios::binary};
    file.seekp(40);
    file.put('#');
    file.close();
    cr_assert(FileJournal::open(folder.path).error().kind == ErrorKind::ChecksumMismatch);
}
