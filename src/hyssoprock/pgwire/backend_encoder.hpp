#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>

#include <hyssoprock/core/result.hpp>

/// @file
/// @brief Encoder of backend messages, PostgreSQL frontend/backend protocol version 3.

namespace hyssoprock::pgwire {

/// @brief Answer to SSLRequest and GSSENCRequest: encryption is not supported.
inline constexpr std::string_view encryptionRefused = "N";

/// @brief Type oids of pg_type used in column descriptions.
enum class TypeOid : std::uint32_t {
    Boolean = 16,
    Int8 = 20,
    Text = 25,
};

/// @brief Transaction status in ReadyForQuery.
enum class TransactionStatus : char {
    Idle = 'I',
    InTransaction = 'T',
    Failed = 'E',
};

/// @brief Column of a RowDescription.
struct Column
{
    std::string name;            ///< Name.
    std::uint32_t tableOid = 0;  ///< Table; 0 if unknown.
    std::uint16_t attribute = 0; ///< Column number; 0 if unknown.
    std::uint32_t typeOid = static_cast<std::uint32_t>(TypeOid::Text); ///< Type oid.
    std::int16_t typeSize = -1;     ///< Size in bytes; negative for variable size.
    std::int32_t typeModifier = -1; ///< Negative if there is none.
    std::uint16_t format = 0;       ///< 0 for text, 1 for binary.

    [[nodiscard]] bool operator==(const Column &) const = default;
};

/// @brief Content of an ErrorResponse or NoticeResponse.
struct Notice
{
    std::string severity = "ERROR"; ///< ERROR, FATAL, NOTICE or WARNING.
    std::string state;              ///< SQLSTATE.
    std::string message;            ///< Message text.
    std::string detail;             ///< Omitted if empty.
    std::string hint;               ///< Omitted if empty.

    [[nodiscard]] bool operator==(const Notice &) const = default;
};

/// @brief Converts an error, using the SQLSTATE and text of its error kind.
/// @param error Kind and detail.
/// @param severity ERROR, or FATAL if the connection is closed after it.
[[nodiscard]] Notice toNotice(const Error &error, std::string_view severity = "ERROR");

/// @brief Appends encoded messages to a buffer.
class BackendEncoder
{
public:
    /// @brief Answers SSLRequest or GSSENCRequest; the only message without a header.
    void refuseEncryption() { buffer_.append(encryptionRefused); }
    void authenticationOk();
    void parameterStatus(std::string_view name, std::string_view value);
    /// @brief Sends the key for CancelRequest.
    void backendKeyData(std::uint32_t processId, std::uint32_t secretKey);
    void readyForQuery(TransactionStatus status);
    void rowDescription(std::span<const Column> columns);
    /// @brief Encodes a row; std::nullopt is NULL.
    void dataRow(std::span<const std::optional<std::string>> values);
    /// @brief Encodes a row of string views, for example from a libpq result; std::nullopt is NULL.
    void dataRow(std::span<const std::optional<std::string_view>> values);
    /// @brief Completes a statement.
    /// @param tag Command tag, for example "INSERT 0 1".
    void commandComplete(std::string_view tag);
    void emptyQueryResponse();
    void errorResponse(const Notice &notice);
    void noticeResponse(const Notice &notice);
    void parseComplete();
    void bindComplete();
    void closeComplete();
    void noData();
    void portalSuspended();
    /// @brief Describes the parameter types of a prepared statement.
    void parameterDescription(std::span<const std::uint32_t> typeOids);
    /// @brief Reports the newest supported minor version and the unsupported protocol options.
    void negotiateProtocolVersion(std::uint32_t newestMinor,
                                  std::span<const std::string> unknownOptions);

    /// @brief Encoded bytes.
    [[nodiscard]] std::string_view bytes() const noexcept { return buffer_; }
    /// @brief Returns the encoded bytes and clears the encoder.
    [[nodiscard]] std::string take() noexcept { return std::exchange(buffer_, {}); }

private:
    void beginMessage(char type);
    void endMessage();
    void put16(std::uint16_t value);
    void put32(std::uint32_t value);
    void putText(std::string_view text);
    void putNotice(char type, const Notice &notice);
    template <class Values>
    void putRow(const Values &values);

    std::string buffer_;
    std::size_t messageStart_ = 0;
};

} // namespace hyssoprock::pgwire
