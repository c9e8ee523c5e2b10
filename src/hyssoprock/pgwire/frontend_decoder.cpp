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
constexpr std::uint32_t majorShift = 16;
constexpr std::uint32_t nullLength = 0xffffffffU;
/// Consumed bytes are dropped from the front of the buffer in blocks of this size, so that many
/// small messages in one read do not move the buffer once each.
constexpr std::size_t compactBytes = 65536;

std::uint32_t readBig(std::string_view bytes) noexcept
{
    std::uint32_t value = 0;
    for (const char byte : bytes) {
        value = (value << 8U) | static_cast<std::uint8_t>(byte);
    }
    return value;
}

/// Reads fields of one message. A field that goes beyond the end sets the reader to failed.
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
        const auto taken = rest_.substr(0, count);
        rest_.remove_prefix(count);
        return taken;
    }

    std::uint16_t number16() { return static_cast<std::uint16_t>(readBig(bytes(2))); }
    std::uint32_t number32() { return readBig(bytes(lengthBytes)); }

    std::string text()
    {
        const auto end = rest_.find('\0');
        if (failed_ || end == std::string_view::npos) {
            failed_ = true;
            return {};
        }
        std::string taken{rest_.substr(0, end)};
        rest_.remove_prefix(end + 1);
        return taken;
    }

    void fail() noexcept { failed_ = true; }
    [[nodiscard]] bool failed() const noexcept { return failed_; }
    [[nodiscard]] bool atEnd() const noexcept { return rest_.empty(); }

private:
    std::string_view rest_;
    bool failed_ = false;
};

StartupMessage readStartup(std::uint32_t version, FieldReader &fields)
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

Parse readParse(FieldReader &fields)
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

std::vector<std::uint16_t> readFormats(FieldReader &fields)
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

Bind readBind(FieldReader &fields)
{
    Bind message;
    message.portal = fields.text();
    message.statement = fields.text();
    message.parameterFormats = readFormats(fields);
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
    message.resultFormats = readFormats(fields);
    return message;
}

ObjectKind readObjectKind(FieldReader &fields)
{
    const auto kind = fields.bytes(1);
    if (kind != "S" && kind != "P") {
        fields.fail();
    }
    return kind == "P" ? ObjectKind::Portal : ObjectKind::Statement;
}

template <class Message>
Message readNamedObject(FieldReader &fields)
{
    Message message;
    message.kind = readObjectKind(fields);
    message.name = fields.text();
    return message;
}

Execute readExecute(FieldReader &fields)
{
    Execute message;
    message.portal = fields.text();
    message.maxRows = fields.number32();
    return message;
}

UnsupportedMessage readUnsupported(char type, std::size_t bodyBytes, FieldReader &fields)
{
    static_cast<void>(fields.bytes(bodyBytes));
    return {type};
}

/// Gives nothing for an unknown type.
std::optional<FrontendMessage> readRegular(char type, std::size_t bodyBytes, FieldReader &fields)
{
    switch (type) {
    case 'Q':
        return Query{fields.text()};
    case 'P':
        return readParse(fields);
    case 'B':
        return readBind(fields);
    case 'D':
        return readNamedObject<Describe>(fields);
    case 'E':
        return readExecute(fields);
    case 'C':
        return readNamedObject<Close>(fields);
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
        return readUnsupported(type, bodyBytes, fields);
    default:
        return std::nullopt;
    }
}

bool knownType(char type) noexcept
{
    return type != '\0' && std::string_view{"QPBDECSHXpdcfF"}.find(type) != std::string_view::npos;
}

std::string nameOfType(char type)
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
    const std::size_t length = readBig(available.substr(0, lengthBytes));
    if (length < startupHeaderBytes) {
        return failure(ErrorKind::ProtocolViolation, "startup message is too short");
    }
    if (length > startupBytesMax) {
        return failure(ErrorKind::MessageTooLarge, "startup message");
    }
    if (available.size() < startupHeaderBytes) {
        return std::nullopt;
    }
    const auto code = readBig(available.substr(lengthBytes, lengthBytes));
    const bool special =
        code == cancelRequestCode || code == sslRequestCode || code == gssEncRequestCode;
    if (!special && (code >> majorShift) != (protocolVersion3 >> majorShift)) {
        return failure(ErrorKind::UnsupportedVersion,
                       "protocol version " + std::to_string(code >> majorShift));
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
        message = readStartup(code, fields);
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
    if (!knownType(type)) {
        return failure(ErrorKind::ProtocolViolation, "unknown " + nameOfType(type));
    }
    if (available.size() < typeBytes + lengthBytes) {
        return std::nullopt;
    }
    const std::size_t length = readBig(available.substr(typeBytes, lengthBytes));
    if (length < lengthBytes) {
        return failure(ErrorKind::ProtocolViolation,
                       nameOfType(type) + " has an impossible length");
    }
    if (length > messageBytesMax_) {
        return failure(ErrorKind::MessageTooLarge, nameOfType(type) + " has "
                                                       + std::to_string(length) + " bytes, limit "
                                                       + std::to_string(messageBytesMax_));
    }
    if (available.size() < typeBytes + length) {
        return std::nullopt;
    }
    const auto bodyBytes = length - lengthBytes;
    FieldReader fields{available.substr(typeBytes + lengthBytes, bodyBytes)};
    auto message = readRegular(type, bodyBytes, fields);
    if (!message || fields.failed() || !fields.atEnd()) {
        return failure(ErrorKind::ProtocolViolation, nameOfType(type) + " is malformed");
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
    } else if (offset_ > compactBytes) {
        buffer_.erase(0, offset_);
        offset_ = 0;
    }
}

} // namespace hyssoprock::pgwire
