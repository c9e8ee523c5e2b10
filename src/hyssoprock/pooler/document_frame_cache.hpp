#pragma once

#include <cstdint>
#include <map>

#include <hyssoprock/deployment/document_archive.hpp>
#include <hyssoprock/pooler/control_replica.hpp>
#include <hyssoprock/pooler/document_cache.hpp>
#include <hyssoprock/transport/frame.hpp>

/// @file
/// @brief Encoded documents for entry hosts.

namespace hyssoprock {

/// @brief Encodes each difference between committed documents once, for all receivers.
class DocumentFrameCache
{
public:
    /// @brief Holds nothing.
    /// @param documents Reads documents; outlives this object.
    explicit DocumentFrameCache(DocumentCache &documents);

    /// @brief Takes the newest document that is known to be committed.
    /// @param replica Holds it.
    void refresh(const ControlReplica &replica);

    /// @brief Newest version that can be sent.
    /// @return 0 if there is none.
    [[nodiscard]] std::uint64_t version() const;

    /// @brief Frame that brings a receiver to the newest version.
    /// @param held Version that it holds; 0 for none.
    /// @param digest Digest of what it holds.
    /// @return The frame; null if the receiver holds that version already.
    [[nodiscard]] SharedFrame frameFor(std::uint64_t held, std::uint64_t digest);

private:
    DocumentCache &documents_;
    DocumentArchive archive_{};
    std::uint64_t readVersion_ = 0;                 ///< Newest version that was read.
    std::map<std::uint64_t, SharedFrame> frames_{}; ///< To the newest version, by base.
};

} // namespace hyssoprock
