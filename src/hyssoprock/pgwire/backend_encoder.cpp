#include <hyssoprock/pgwire/backend_encoder.hpp>

#include <hyssoprock/core/invariant.hpp>

namespace hyssoprock::pgwire {

namespace {

constexpr std::size_t lengthBytes = 4;
constexpr std::size_t fieldCountMax = 65535;

void writeBigEndian(char *to, std::uint32_t value) noexcept
{
    to[0] = static_cast<char>(value >> 24U);
    to[1] = static_cast<char>(value >> 16U);
    to[2] = static_cast<char>(value >> 8U);
    to[3] = static_cast<char>(value);
}

} // namespace

Notice toNotice(const Error &error, std::string_view severity)
{
    const auto &answer = describe(error.kind);
    Notice notice;
    notice.severity = severity;
    notice.state = answer.state;
    notice.message = answer.text;
    notice.detail = error.detail;
    return notice;
}

void BackendEncoder::beginMessage(char type)
{
    buffer_.push_back(type);
    messageStart_ = buffer_.size();
    buffer_.append(lengthBytes, '\0');
}

void BackendEncoder::endMessage()
{
    const auto length = buffer_.size() - messageStart_;
    check(length <= 0x7fffffffU, "a message fits its length field");
    writeBigEndian(buffer_.data() + messageStart_, static_cast<std::uint32_t>(length));
}

void BackendEncoder::put16(std::uint16_t value)
{
    buffer_.push_back(static_cast<char>(value >> 8U));
    buffer_.push_back(static_cast<char>(value));
}

void BackendEncoder::put32(std::uint32_t value)
{
    const auto offset = buffer_.size();
    buffer_.append(lengthBytes, '\0');
    writeBigEndian(buffer_.data() + offset, value);
}

void BackendEncoder::putText(std::string_view text)
{
    // Strings are zero-terminated on the wire, so the text is truncated at the first zero byte.
    buffer_.append(text.substr(0, text.find('\0')));
    buffer_.push_back('\0');
}

void BackendEncoder::authenticationOk()
{
    beginMessage('R');
    put32(0);
    endMessage();
}

void BackendEncoder::parameterStatus(std::string_view name, std::string_view value)
{
    beginMessage('S');
    putText(name);
    putText(value);
    endMessage();
}

void BackendEncoder::backendKeyData(std::uint32_t processId, std::uint32_t secretKey)
{
    beginMessage('K');
    put32(processId);
    put32(secretKey);
    endMessage();
}

void BackendEncoder::readyForQuery(TransactionStatus status)
{
    beginMessage('Z');
    buffer_.push_back(static_cast<char>(status));
    endMessage();
}

void BackendEncoder::rowDescription(std::span<const Column> columns)
{
    check(columns.size() <= fieldCountMax, "a row has at most 65535 columns");
    beginMessage('T');
    put16(static_cast<std::uint16_t>(columns.size()));
    for (const auto &column : columns) {
        putText(column.name);
        put32(column.tableOid);
        put16(column.attribute);
        put32(column.typeOid);
        put16(static_cast<std::uint16_t>(column.typeSize));
        put32(static_cast<std::uint32_t>(column.typeModifier));
        put16(column.format);
    }
    endMessage();
}

template <class Values>
void BackendEncoder::putRow(const Values &values)
{
    check(values.size() <= fieldCountMax, "a row has at most 65535 columns");
    beginMessage('D');
    put16(static_cast<std::uint16_t>(values.size()));
    for (const auto &value : values) {
        if (value) {
            put32(static_cast<std::uint32_t>(value->size()));
            buffer_.append(*value);
        } else {
            put32(0xffffffffU);
        }
    }
    endMessage();
}

void BackendEncoder::dataRow(std::span<const std::optional<std::string>> values)
{
    putRow(values);
}

void BackendEncoder::dataRow(std::span<const std::optional<std::string_view>> values)
{
    putRow(values);
}

void BackendEncoder::commandComplete(std::string_view tag)
{
    beginMessage('C');
    putText(tag);
    endMessage();
}

void BackendEncoder::emptyQueryResponse()
{
    beginMessage('I');
    endMessage();
}

void BackendEncoder::putNotice(char type, const Notice &notice)
{
    beginMessage(type);
    const auto field = [this](char code, std::string_view text) {
        if (!text.empty()) {
            buffer_.push_back(code);
            putText(text);
        }
    };
    field('S', notice.severity);
    field('V', notice.severity);
    field('C', notice.state);
    field('M', notice.message);
    field('D', notice.detail);
    field('H', notice.hint);
    buffer_.push_back('\0');
    endMessage();
}

void BackendEncoder::errorResponse(const Notice &notice)
{
    putNotice('E', notice);
}

void BackendEncoder::noticeResponse(const Notice &notice)
{
    putNotice('N', notice);
}

void BackendEncoder::parseComplete()
{
    beginMessage('1');
    endMessage();
}

void BackendEncoder::bindComplete()
{
    beginMessage('2');
    endMessage();
}

void BackendEncoder::closeComplete()
{
    beginMessage('3');
    endMessage();
}

void BackendEncoder::noData()
{
    beginMessage('n');
    endMessage();
}

void BackendEncoder::portalSuspended()
{
    beginMessage('s');
    endMessage();
}

void BackendEncoder::parameterDescription(std::span<const std::uint32_t> typeOids)
{
    check(typeOids.size() <= fieldCountMax, "a statement has at most 65535 parameters");
    beginMessage('t');
    put16(static_cast<std::uint16_t>(typeOids.size()));
    for (const auto oid : typeOids) {
        put32(oid);
    }
    endMessage();
}

void BackendEncoder::negotiateProtocolVersion(std::uint32_t newestMinor,
                                              std::span<const std::string> unknownOptions)
{
    beginMessage('v');
    put32(newestMinor);
    put32(static_cast<std::uint32_t>(unknownOptions.size()));
    for (const auto &option : unknownOptions) {
        putText(option);
    }
    endMessage();
}

} // namespace hyssoprock::pgwire
