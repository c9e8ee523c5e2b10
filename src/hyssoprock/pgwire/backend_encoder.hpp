#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>

#include <hyssoprock/core/result.hpp>

/// @file
/// @brief Encoder of the messages that a server sends.

namespace hyssoprock::pgwire {

/// @brief Answer to SSLRequest and GSSENCRequest: not supported, continue in plain text.
inline constexpr std::string_view encryptionRefused = "N";

/// @brief Type ids of pg_type for the columns that we describe.
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
    std::uint32_t typeOid = static_cast<std::uint32_t>(TypeOid::Text); ///< Type id.
    std::int16_t typeSize = -1;                                        ///< Negative: variable.
    std::int32_t typeModifier = -1;                                    ///< Negative: none.
    std::uint16_t format = 0;                                          ///< 0 text, 1 binary.

    [[nodiscard]] bool operator==(const Column &) const = default;
};

/// @brief Content of an ErrorResponse or NoticeResponse.
struct Notice
{
    std::string severity = "ERROR"; ///< ERROR, FATAL, NOTICE or WARNING.
    std::string state;              ///< SQLSTATE.
    std::string message;            ///< For people.
    std::string detail;             ///< For people; left out if empty.
    std::string hint;               ///< For people; left out if empty.

    [[nodiscard]] bool operator==(const Notice &) const = default;
};

/// @brief Makes the answer to an error from the table of error kinds.
/// @param error Kind and detail.
/// @param severity ERROR, or FATAL if the connection closes after it.
/// @return What to send.
[[nodiscard]] Notice toNotice(const Error &error, std::string_view severity = "ERROR");

/// @brief Appends messages to a buffer that is then sent as a whole.
class BackendEncoder
{
public:
    /// @brief Answer to SSLRequest and GSSENCRequest; the only one without a header.
    void refuseEncryption() { buffer_.append(encryptionRefused); }
    void authenticationOk();
    /// @brief Reports a parameter of the session.
    void parameterStatus(std::string_view name, std::string_view value);
    /// @brief Key for CancelRequest.
    void backendKeyData(std::uint32_t processId, std::uint32_t secretKey);
    void readyForQuery(TransactionStatus status);
    void rowDescription(std::span<const Column> columns);
    /// @brief One row; an absent value is NULL.
    void dataRow(std::span<const std::optional<std::string>> values);
    /// @brief One row of views, for example into a libpq result; an absent value is NULL.
    void dataRow(std::span<const std::optional<std::string_view>> values);
    /// @brief End of a statement.
    /// @param tag For example "INSERT 0 1".
    void commandComplete(std::string_view tag);
    void emptyQueryResponse();
    void errorResponse(const Notice &notice);
    void noticeResponse(const Notice &notice);
    void parseComplete();
    void bindComplete();
    void closeComplete();
    void noData();
    void portalSuspended();
    /// @brief Types of a prepared statement's parameters.
    void parameterDescription(std::span<const std::uint32_t> typeOids);
    /// @brief Minor protocol version and options that are not served.
    void negotiateProtocolVersion(std::uint32_t newestMinor,
                                  std::span<const std::string> unknownOptions);

    /// @brief Bytes encoded so far.
    [[nodiscard]] std::string_view bytes() const noexcept { return buffer_; }
    /// @brief Takes the bytes and leaves the encoder empty.
    [[nodiscard]] std::string take() noexcept { return std::exchange(buffer_, {}); }

private:
    void begin(char type);
    void end();
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
