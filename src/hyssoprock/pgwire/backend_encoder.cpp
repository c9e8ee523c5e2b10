#include <hyssoprock/pgwire/backend_encoder.hpp>

#include <hyssoprock/core/invariant.hpp>

namespace hyssoprock::pgwire {

namespace {

constexpr std::size_t lengthBytes = 4;
constexpr std::size_t maxFields = 65535;

void writeBig(char *to, std::uint32_t value) noexcept
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

void BackendEncoder::begin(char type)
{
    buffer_.push_back(type);
    messageStart_ = buffer_.size();
    buffer_.append(lengthBytes, '\0');
}

void BackendEncoder::end()
{
    const auto length = buffer_.size() - messageStart_;
    check(length <= 0x7fffffffU, "a message fits its length field");
    writeBig(buffer_.data() + messageStart_, static_cast<std::uint32_t>(length));
}

void BackendEncoder::put16(std::uint16_t value)
{
    buffer_.push_back(static_cast<char>(value >> 8U));
    buffer_.push_back(static_cast<char>(value));
}

void BackendEncoder::put32(std::uint32_t value)
{
    const auto at = buffer_.size();
    buffer_.append(lengthBytes, '\0');
    writeBig(buffer_.data() + at, value);
}

void BackendEncoder::putText(std::string_view text)
{
    // A zero byte ends the text on the wire, so what follows one cannot be sent.
    buffer_.append(text.substr(0, text.find('\0')));
    buffer_.push_back('\0');
}

void BackendEncoder::authenticationOk()
{
    begin('R');
    put32(0);
    end();
}

void BackendEncoder::parameterStatus(std::string_view name, std::string_view value)
{
    begin('S');
    putText(name);
    putText(value);
    end();
}

void BackendEncoder::backendKeyData(std::uint32_t processId, std::uint32_t secretKey)
{
    begin('K');
    put32(processId);
    put32(secretKey);
    end();
}

void BackendEncoder::readyForQuery(TransactionStatus status)
{
    begin('Z');
    buffer_.push_back(static_cast<char>(status));
    end();
}

void BackendEncoder::rowDescription(std::span<const Column> columns)
{
    check(columns.size() <= maxFields, "a row has at most 65535 columns");
    begin('T');
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
    end();
}

template <class Values>
void BackendEncoder::putRow(const Values &values)
{
    check(values.size() <= maxFields, "a row has at most 65535 columns");
    begin('D');
    put16(static_cast<std::uint16_t>(values.size()));
    for (const auto &value : values) {
        if (value) {
            put32(static_cast<std::uint32_t>(value->size()));
            buffer_.append(*value);
        } else {
            put32(0xffffffffU);
        }
    }
    end();
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
    begin('C');
    putText(tag);
    end();
}

void BackendEncoder::emptyQueryResponse()
{
    begin('I');
    end();
}

void BackendEncoder::putNotice(char type, const Notice &notice)
{
    begin(type);
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
    end();
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
    begin('1');
    end();
}

void BackendEncoder::bindComplete()
{
    begin('2');
    end();
}

void BackendEncoder::closeComplete()
{
    begin('3');
    end();
}

void BackendEncoder::noData()
{
    begin('n');
    end();
}

void BackendEncoder::portalSuspended()
{
    begin('s');
    end();
}

void BackendEncoder::parameterDescription(std::span<const std::uint32_t> typeOids)
{
    check(typeOids.size() <= maxFields, "a statement has at most 65535 parameters");
    begin('t');
    put16(static_cast<std::uint16_t>(typeOids.size()));
    for (const auto oid : typeOids) {
        put32(oid);
    }
    end();
}

void BackendEncoder::negotiateProtocolVersion(std::uint32_t newestMinor,
                                              std::span<const std::string> unknownOptions)
{
    begin('v');
    put32(newestMinor);
    put32(static_cast<std::uint32_t>(unknownOptions.size()));
    for (const auto &option : unknownOptions) {
        putText(option);
    }
    end();
}

} // namespace hyssoprock::pgwire
