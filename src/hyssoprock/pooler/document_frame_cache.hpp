#pragma once

#include <cstdint>
#include <map>

#include <hyssoprock/deployment/document_archive.hpp>
#include <hyssoprock/pooler/control_replica.hpp>
#include <hyssoprock/pooler/document_cache.hpp>
#include <hyssoprock/transport/frame.hpp>

/// @file
/// @brief Encoded document updates for entry hosts.

namespace hyssoprock {

/// @brief Encodes each delta between committed documents once and shares it among all receivers.
class DocumentFrameCache
{
public:
    /// @param documents Must outlive this object.
    explicit DocumentFrameCache(DocumentCache &documents);

    /// @brief Loads the newest document that the replica knows to be committed.
    void refresh(const ControlReplica &replica);

    /// @brief Newest version that can be sent; 0 if there is none.
    [[nodiscard]] std::uint64_t version() const;

    /// @brief Returns the frame that updates a receiver to the newest version.
    /// @param held Version that the receiver holds; 0 for none.
    /// @param digest Digest of the document that it holds.
    /// @return Null if the receiver holds the newest version already.
    [[nodiscard]] SharedFrame frameFor(std::uint64_t held, std::uint64_t digest);

private:
    DocumentCache &documents_;
    DocumentArchive archive_{};
    std::uint64_t parsedVersion_ = 0;               ///< Newest version passed to the parser.
    std::map<std::uint64_t, SharedFrame> frames_{}; ///< Deltas to the newest version by base.
};

} // namespace hyssoprock
