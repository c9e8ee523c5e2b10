#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>

#include <hyssoprock/deployment/deployment_document.hpp>
#include <hyssoprock/message/pooling.hpp>

/// @file
/// @brief Recent versions of the document, from which differences are made.

namespace hyssoprock {

/// @brief Keeps the newest versions and decides what a receiver is sent.
class DocumentArchive
{
public:
    /// @brief Holds nothing.
    /// @param versionsMax Most versions that are kept.
    /// @param bytesMax Most memory of all versions but the newest, roughly.
    explicit DocumentArchive(std::size_t versionsMax = defaultVersionsMax,
                             std::size_t bytesMax = defaultBytesMax)
        : versionsMax_{versionsMax}
        , bytesMax_{bytesMax}
    {}

    /// @brief Adds a version.
    /// @param document A committed document; one that is not newer than all others is ignored.
    void add(std::shared_ptr<const DeploymentDocument> document);

    /// @brief Newest version.
    /// @return Null if there is none.
    [[nodiscard]] std::shared_ptr<const DeploymentDocument> newest() const;

    /// @brief Version that a receiver's difference is from.
    /// @param held Version that the receiver holds; 0 for none.
    /// @param digest Digest of the document that it holds.
    /// @return `held` if exactly this document is known here and it is older than the newest one;
    /// otherwise 0: the receiver gets the whole document.
    [[nodiscard]] std::uint64_t deltaBase(std::uint64_t held, std::uint64_t digest) const;

    /// @brief Difference of the newest version.
    /// @param base From deltaBase(). There must be a newest version.
    [[nodiscard]] DocumentDelta deltaFrom(std::uint64_t base) const;

    /// @brief Enough for a receiver on a slow link that is behind by several changes a second. With
    /// four versions such a receiver was sent whole documents and never caught up.
    static constexpr std::size_t defaultVersionsMax = 32;
    /// @brief About 30 typed documents of 1,880 routes.
    static constexpr std::size_t defaultBytesMax = std::size_t{16} * 1024 * 1024;

private:
    struct Version
    {
        std::shared_ptr<const DeploymentDocument> document;
        std::uint64_t digest;
        std::size_t bytes;
    };

    [[nodiscard]] const Version *find(std::uint64_t version) const;

    std::size_t versionsMax_;
    std::size_t bytesMax_;
    std::size_t bytes_ = 0;
    std::deque<Version> versions_{}; ///< Oldest first.
};

} // namespace hyssoprock
