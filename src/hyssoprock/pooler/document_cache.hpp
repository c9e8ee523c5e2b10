#pragma once

#include <cstddef>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include <hyssoprock/core/result.hpp>
#include <hyssoprock/deployment/deployment_document.hpp>

/// @file
/// @brief The one place where a control host reads documents.

namespace hyssoprock {

/// @brief Reads a document as the operator sent it.
using DocumentParser = std::function<Result<DeploymentDocument>(std::string_view bytes)>;

/// @brief Reads each document once and shares the typed one. A document of 2,000 routes takes
/// several milliseconds to read, and comparing its 400 KB with those of a known one takes a small
/// part of that.
class DocumentCache
{
public:
    using Read = Result<std::shared_ptr<const DeploymentDocument>>;

    /// @brief Holds nothing.
    /// @param reader Reads documents.
    explicit DocumentCache(DocumentParser reader);

    /// @brief Reads a document unless it is one of the last two.
    /// @param bytes The document as the operator sent it.
    /// @return The document, or the reader's error.
    [[nodiscard]] Read read(std::string_view bytes);

private:
    struct Known
    {
        std::string bytes;
        Read read;
    };

    /// The committed document and one that is being stored.
    static constexpr std::size_t knownMost = 2;

    DocumentParser reader_;
    std::deque<Known> known_{}; ///< Newest first.
};

} // namespace hyssoprock
