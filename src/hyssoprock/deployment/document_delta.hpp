#pragma once

#include <cstdint>

#include <hyssoprock/core/result.hpp>
#include <hyssoprock/deployment/deployment_document.hpp>
#include <hyssoprock/message/pooling.hpp>

/// @file
/// @brief Deltas between two versions of a deployment document.

namespace hyssoprock {

/// @brief Computes the XXH64 digest of all fields of a document, in order.
[[nodiscard]] std::uint64_t computeDigest(const DeploymentDocument &document);

/// @brief Computes the delta between two versions.
/// @param base Version that the receiver holds; null for a delta that contains the whole document.
/// @param document Version that the receiver is to hold.
/// @return Delta with the versions and digests of both documents.
[[nodiscard]] DocumentDelta computeDelta(const DeploymentDocument *base,
                                         const DeploymentDocument &document);

/// @brief Applies a delta.
/// @param base Version held by this host; null if there is none.
/// @param delta Delta to apply.
/// @return The new document. InvalidValue if the delta has another base or produces an invalid
/// document, ChecksumMismatch if the result differs from the document of the sender.
[[nodiscard]] Result<DeploymentDocument> applyDelta(const DeploymentDocument *base,
                                                    const DocumentDelta &delta);

/// @brief Encodes and compresses a delta.
[[nodiscard]] DocumentAnswer compressDelta(const DocumentDelta &delta);

/// @brief Decompresses and decodes a delta.
/// @return ProtocolViolation if the message is damaged or too large.
[[nodiscard]] Result<DocumentDelta> decompressDelta(const DocumentAnswer &answer);

} // namespace hyssoprock
