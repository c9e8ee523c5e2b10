#include <hyssoprock/pgwire/frontend_decoder.hpp>

#include <cstdint>
#include <utility>

namespace hyssoprock::pgwire {

namespace {

constexpr std::size_t lengthBytes = 4;
constexpr std::size_t typeBytes = 1;
constexpr std::size_t startupHeaderBytes = 8;
constexpr std::uint32_t cancelRequestCode = 80877102;
constexpr std::uint32_t sslRequestCode = 80877103;
constexpr std::uint32_t gssEncRequestCode = 80877104;
constexpr std::uint32_t majorVersionShiftBits = 16;
constexpr std::uint32_t nullLength = 0xffffffffU;
/// Decoded bytes are removed from the front of the buffer only above this size, so that the buffer
/// is not moved for each of many small messages in one read.
constexpr std::size_t compactionThresholdBytes = 65536;

std::uint32_t readBigEndian(std::string_view bytes) noexcept
{
    std::uint32_t value = 0;
    for (const char byte : bytes) {
        value = (value << 8U) | static_cast<std::uint8_t>(byte);
    }
    return value;
}

/// Reads the fields of one message. Reading beyond the end sets the failed state.
class FieldReader
{
public:
    explicit FieldReader(std::string_view bytes)
        : rest_{bytes}
    {}

    std::string_view bytes(std::size_t count)
    {
        if (failed_ || count > rest_.size()) {
            failed_ = true;
            return {};
        }
        const auto field = rest_.substr(0, count);
        rest_.remove_prefix(count);
        return field;
    }

    std::uint16_t number16() { return static_cast<std::uint16_t>(readBigEndian(bytes(2))); }
    std::uint32_t number32() { return readBigEndian(bytes(lengthBytes)); }

    std::string text()
    {
        const auto end = rest_.find('\0');
        if (failed_ || end == std::string_view::npos) {
            failed_ = true;
            return {};
        }
        std::string field{rest_.substr(0, end)};
        rest_.remove_prefix(end + 1);
        return field;
    }

    void fail() noexcept { failed_ = true; }
    [[nodiscard]] bool failed() const noexcept { return failed_; }
    [[nodiscard]] bool atEnd() const noexcept { return rest_.empty(); }

private:
    std::string_view rest_;
    bool failed_ = false;
};

StartupMessage parseStartup(std::uint32_t version, FieldReader &fields)
{
    StartupMessage message;
    message.version = version;
    while (!fields.failed()) {
        auto name = fields.text();
        if (name.empty()) {
            break;
        }
        auto value = fields.text();
        message.parameters.push_back({std::move(name), std::move(value)});
    }
    return message;
}

Parse parseParse(FieldReader &fields)
{
    Parse message;
    message.statement = fields.text();
    message.text = fields.text();
    const auto count = fields.number16();
    for (std::uint16_t i = 0; i < count && !fields.failed(); ++i) {
        message.parameterTypes.push_back(fields.number32());
    }
    return message;
}

std::vector<std::uint16_t> parseFormats(FieldReader &fields)
{
    std::vector<std::uint16_t> formats;
    const auto count = fields.number16();
    for (std::uint16_t i = 0; i < count && !fields.failed(); ++i) {
        const auto format = fields.number16();
        if (format > 1) {
            fields.fail();
        }
        formats.push_back(format);
    }
    return formats;
}

Bind parseBind(FieldReader &fields)
{
    Bind message;
    message.portal = fields.text();
    message.statement = fields.text();
    message.parameterFormats = parseFormats(fields);
    const auto count = fields.number16();
    for (std::uint16_t i = 0; i < count && !fields.failed(); ++i) {
        const auto length = fields.number32();
        if (length == nullLength) {
            message.values.emplace_back(std::nullopt);
        } else {
            message.values.emplace_back(std::string{fields.bytes(length)});
        }
    }
    const auto formats = message.parameterFormats.size();
    if (formats > 1 && formats != count) {
        fields.fail();
    }
    message.resultFormats = parseFormats(fields);
    return message;
}

ObjectKind parseObjectKind(FieldReader &fields)
{
    const auto kind = fields.bytes(1);
    if (kind != "S" && kind != "P") {
        fields.fail();
    }
    return kind == "P" ? ObjectKind::Portal : ObjectKind::Statement;
}

template <class Message>
Message parseNamedObject(FieldReader &fields)
{
    Message message;
    message.kind = parseObjectKind(fields);
    message.name = fields.text();
    return message;
}

Execute parseExecute(FieldReader &fields)
{
    Execute message;
    message.portal = fields.text();
    message.maxRows = fields.number32();
    return message;
}

UnsupportedMessage parseUnsupported(char type, std::size_t bodyBytes, FieldReader &fields)
{
    static_cast<void>(fields.bytes(bodyBytes));
    return {type};
}

/// Returns std::nullopt for an unknown type.
std::optional<FrontendMessage> parseRegular(char type, std::size_t bodyBytes, FieldReader &fields)
{
    switch (type) {
    case 'Q':
        return Query{fields.text()};
    case 'P':
        return parseParse(fields);
    case 'B':
        return parseBind(fields);
    case 'D':
        return parseNamedObject<Describe>(fields);
    case 'E':
        return parseExecute(fields);
    case 'C':
        return parseNamedObject<Close>(fields);
    case 'S':
        return Sync{};
    case 'H':
        return Flush{};
    case 'X':
        return Terminate{};
    case 'p':
    case 'd':
    case 'c':
    case 'f':
    case 'F':
        return parseUnsupported(type, bodyBytes, fields);
    default:
        return std::nullopt;
    }
}

bool isKnownType(char type) noexcept
{
    return type != '\0' && std::string_view{"QPBDECSHXpdcfF"}.find(type) != std::string_view::npos;
}

std::string typeName(char type)
{
    return "message type " + std::to_string(static_cast<unsigned char>(type));
}

} // namespace

std::string_view StartupMessage::find(std::string_view name) const noexcept
{
    std::string_view found;
    for (const auto &parameter : parameters) {
        if (parameter.name == name) {
            found = parameter.value;
        }
    }
    return found;
}

FrontendDecoder::FrontendDecoder(std::size_t messageBytesMax)
    : messageBytesMax_{messageBytesMax}
{}

void FrontendDecoder::append(std::string_view bytes)
{
    if (!error_) {
        buffer_.append(bytes);
    }
}

Result<std::optional<FrontendMessage>> FrontendDecoder::next()
{
    if (error_) {
        return failure(error_->kind, error_->detail);
    }
    auto result = decodeNext();
    if (result.has_error()) {
        error_ = result.error();
        buffer_.clear();
        offset_ = 0;
    }
    return result;
}

Result<std::optional<FrontendMessage>> FrontendDecoder::decodeNext()
{
    return inStartup_ ? nextStartup() : nextRegular();
}

Result<std::optional<FrontendMessage>> FrontendDecoder::nextStartup()
{
    const auto available = std::string_view{buffer_}.substr(offset_);
    if (available.size() < lengthBytes) {
        return std::nullopt;
    }
    const std::size_t length = readBigEndian(available.substr(0, lengthBytes));
    if (length < startupHeaderBytes) {
        return failure(ErrorKind::ProtocolViolation, "startup message is too short");
    }
    if (length > startupBytesMax) {
        return failure(ErrorKind::MessageTooLarge, "startup message");
    }
    if (available.size() < startupHeaderBytes) {
        return std::nullopt;
    }
    const auto code = readBigEndian(available.substr(lengthBytes, lengthBytes));
    const bool isNegotiation =
        code == cancelRequestCode || code == sslRequestCode || code == gssEncRequestCode;
    if (!isNegotiation
        && (code >> majorVersionShiftBits) != (protocolVersion3 >> majorVersionShiftBits)) {
        return failure(ErrorKind::UnsupportedVersion,
                       "protocol version " + std::to_string(code >> majorVersionShiftBits));
    }
    if (available.size() < length) {
        return std::nullopt;
    }
    FieldReader fields{available.substr(startupHeaderBytes, length - startupHeaderBytes)};
    FrontendMessage message;
    if (code == sslRequestCode) {
        message = SslRequest{};
    } else if (code == gssEncRequestCode) {
        message = GssEncRequest{};
    } else if (code == cancelRequestCode) {
        const auto processId = fields.number32();
        message = CancelRequest{processId, fields.number32()};
    } else {
        message = parseStartup(code, fields);
        inStartup_ = false;
    }
    if (fields.failed() || !fields.atEnd()) {
        return failure(ErrorKind::ProtocolViolation, "startup message is malformed");
    }
    consume(length);
    return std::optional<FrontendMessage>{std::move(message)};
}

Result<std::optional<FrontendMessage>> FrontendDecoder::nextRegular()
{
    const auto available = std::string_view{buffer_}.substr(offset_);
    if (available.empty()) {
        return std::nullopt;
    }
    const char type = available.front();
    if (!isKnownType(type)) {
        return failure(ErrorKind::ProtocolViolation, "unknown " + typeName(type));
    }
    if (available.size() < typeBytes + lengthBytes) {
        return std::nullopt;
    }
    const std::size_t length = readBigEndian(available.substr(typeBytes, lengthBytes));
    if (length < lengthBytes) {
        return failure(ErrorKind::ProtocolViolation, typeName(type) + " has an invalid length");
    }
    if (length > messageBytesMax_) {
        return failure(ErrorKind::MessageTooLarge, typeName(type) + " has " + std::to_string(length)
                                                       + " bytes, limit "
                                                       + std::to_string(messageBytesMax_));
    }
    if (available.size() < typeBytes + length) {
        return std::nullopt;
    }
    const auto bodyBytes = length - lengthBytes;
    FieldReader fields{available.substr(typeBytes + lengthBytes, bodyBytes)};
    auto message = parseRegular(type, bodyBytes, fields);
    if (!message || fields.failed() || !fields.atEnd()) {
        return failure(ErrorKind::ProtocolViolation, typeName(type) + " is malformed");
    }
    consume(typeBytes + length);
    return message;
}

void FrontendDecoder::consume(std::size_t bytes)
{
    offset_ += bytes;
    if (offset_ == buffer_.size()) {
        buffer_.clear();
        offset_ = 0;
    } else if (offset_ > compactionThresholdBytes) {
        buffer_.erase(0, offset_);
        offset_ = 0;
    }
}

} // namespace hyssoprock::pgwire
