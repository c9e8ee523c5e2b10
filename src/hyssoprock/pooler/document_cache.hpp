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
/// @brief Cache of parsed deployment documents.

namespace hyssoprock {

/// @brief Parses a document as the operator sent it.
using DocumentParser = std::function<Result<DeploymentDocument>(std::string_view bytes)>;

/// @brief Parses each document once and shares the result. Parsing a document of 2,000 routes takes
/// several milliseconds; comparing its 400 KB with a cached one takes a small fraction of that.
class DocumentCache
{
public:
    using ParseResult = Result<std::shared_ptr<const DeploymentDocument>>;

    explicit DocumentCache(DocumentParser parser);

    /// @brief Parses a document unless it is one of the last two.
    /// @param bytes Document as the operator sent it.
    /// @return The document or the parser's error, which is cached too.
    [[nodiscard]] ParseResult parse(std::string_view bytes);

private:
    struct Entry
    {
        std::string bytes;
        ParseResult result;
    };

    /// Room for the committed document and one that is being stored.
    static constexpr std::size_t entriesMax = 2;

    DocumentParser parser_;
    std::deque<Entry> entries_{}; ///< Newest first.
};

} // namespace hyssoprock
