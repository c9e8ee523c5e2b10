#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>

#include <hyssoprock/deployment/deployment_document.hpp>
#include <hyssoprock/message/pooling.hpp>

/// @file
/// @brief Archive of recent document versions, used as bases for deltas.

namespace hyssoprock {

/// @brief Keeps the newest versions and decides what a receiver is sent.
class DocumentArchive
{
public:
    /// @brief Creates an empty archive.
    /// @param versionsMax Maximum number of versions to keep.
    /// @param bytesMax Approximate maximum memory of all versions except the newest.
    explicit DocumentArchive(std::size_t versionsMax = defaultVersionsMax,
                             std::size_t bytesMax = defaultBytesMax)
        : versionsMax_{versionsMax}
        , bytesMax_{bytesMax}
    {}

    /// @brief Adds a version.
    /// @param document Committed document; ignored if it is not newer than all others.
    void add(std::shared_ptr<const DeploymentDocument> document);

    /// @brief Newest version.
    /// @return Null if the archive is empty.
    [[nodiscard]] std::shared_ptr<const DeploymentDocument> newest() const;

    /// @brief Selects the base version of the delta for a receiver.
    /// @param held Version that the receiver holds; 0 if none.
    /// @param digest Digest of the document that the receiver holds.
    /// @return `held` if the archive contains exactly this document and it is not the newest one.
    /// Otherwise 0: the receiver gets the whole document.
    [[nodiscard]] std::uint64_t deltaBase(std::uint64_t held, std::uint64_t digest) const;

    /// @brief Delta from a base to the newest version. The archive must not be empty.
    /// @param base Version from deltaBase().
    [[nodiscard]] DocumentDelta deltaFrom(std::uint64_t base) const;

    /// @brief Sufficient for a receiver on a slow link that lags behind by several changes a
    /// second. With four versions such a receiver was sent whole documents and never caught up.
    static constexpr std::size_t defaultVersionsMax = 32;
    /// @brief About 30 documents of 1,880 routes in memory.
    static constexpr std::size_t defaultBytesMax = std::size_t{16} * 1024 * 1024;

private:
    struct Version
    {
        std::shared_ptr<const DeploymentDocument> document;
        std::uint64_t digest;
        std::size_t bytes;
    };

    [[nodiscard]] const Version *findVersion(std::uint64_t version) const;

    std::size_t versionsMax_;
    std::size_t bytesMax_;
    std::size_t bytes_ = 0;
    std::deque<Version> versions_{}; ///< Oldest first.
};

} // namespace hyssoprock
