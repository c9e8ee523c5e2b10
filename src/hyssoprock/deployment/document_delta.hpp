#pragma once

#include <cstdint>

#include <hyssoprock/core/result.hpp>
#include <hyssoprock/deployment/deployment_document.hpp>
#include <hyssoprock/message/pooling.hpp>

/// @file
/// @brief Differences of two versions of a deployment document.

namespace hyssoprock {

/// @brief Digest of everything that a document holds, in its order.
/// @param document The document.
/// @return XXH64 of its fields.
[[nodiscard]] std::uint64_t computeDigest(const DeploymentDocument &document);

/// @brief What has to be done to turn one version into another.
/// @param base Version that the receiver holds; null for a difference from nothing, which holds the
/// whole document.
/// @param document Version that the receiver is to hold.
/// @return The difference with the versions and digests of both.
[[nodiscard]] DocumentDelta computeDelta(const DeploymentDocument *base,
                                         const DeploymentDocument &document);

/// @brief Turns one version into another.
/// @param base Version that is held; null if there is none.
/// @param delta The difference.
/// @return The document; InvalidValue if the difference is from another base, ChecksumMismatch if
/// the result is not the document that the sender had.
[[nodiscard]] Result<DeploymentDocument> applyDelta(const DeploymentDocument *base,
                                                    const DocumentDelta &delta);

/// @brief Encodes and compresses a difference.
/// @param delta The difference.
/// @return The message that carries it.
[[nodiscard]] DocumentAnswer compressDelta(const DocumentDelta &delta);

/// @brief Reads a difference.
/// @param answer The message that carries it.
/// @return The difference, or ProtocolViolation.
[[nodiscard]] Result<DocumentDelta> decompressDelta(const DocumentAnswer &answer);

} // namespace hyssoprock
