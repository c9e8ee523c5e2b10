#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string_view>

#include <hyssoprock/core/result.hpp>
#include <hyssoprock/deployment/document_archive.hpp>
#include <hyssoprock/pooler/control_replica.hpp>
#include <hyssoprock/transport/frame.hpp>

/// @file
/// @brief Encoded documents for entry hosts.

namespace hyssoprock {

/// @brief Reads a document as the operator sent it.
using DocumentReader = std::function<Result<DeploymentDocument>(std::string_view bytes)>;

/// @brief Reads each committed document once and encodes each difference once, for all receivers.
class DocumentFrames
{
public:
    /// @brief Holds nothing.
    /// @param reader Reads documents.
    explicit DocumentFrames(DocumentReader reader);

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
    DocumentReader reader_;
    DocumentArchive archive_{};
    std::uint64_t readVersion_ = 0;                 ///< Newest version that was given to reader_.
    std::map<std::uint64_t, SharedFrame> frames_{}; ///< To the newest version, by base.
};

} // namespace hyssoprock
