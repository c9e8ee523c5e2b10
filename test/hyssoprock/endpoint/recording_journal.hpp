#pragma once

#include <cstdint>
#include <vector>

#include <hyssoprock/endpoint/journal.hpp>

/// @brief Journal that records the durable state in memory.
class RecordingJournal final : public hyssoprock::endpoint::Journal
{
public:
    void fence(std::uint64_t term) override { fencedTerm = term; }
    void append(const hyssoprock::TransactionEntry &entry) override { entries.push_back(entry); }
    void truncateAfter(std::uint64_t index) override { entries.resize(index); }

    std::uint64_t fencedTerm = 0;
    std::vector<hyssoprock::TransactionEntry> entries;
};
