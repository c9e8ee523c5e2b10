#include <hyssoprock/transport/frame.hpp>

#include <xxhash.h>

#include <hyssoprock/core/invariant.hpp>

namespace hyssoprock {

namespace {

constexpr unsigned bitsPerByte = 8;
constexpr std::size_t compactThresholdBytes = 65536;

struct FrameHeader
{
    std::uint32_t length;
    std::uint16_t version;
    std::uint16_t type;
    std::uint64_t checksum;
};

template <class Number>
void appendNumber(std::string &bytes, Number number)
{
    for (std::size_t i = sizeof(Number); i > 0; --i) {
        bytes.push_back(static_cast<char>((number >> ((i - 1) * bitsPerByte)) & 0xffU));
    }
}

template <class Number>
Number consumeNumber(std::string_view &bytes)
{
    std::uint64_t number = 0;
    for (std::size_t i = 0; i < sizeof(Number); ++i) {
        number = (number << bitsPerByte) | static_cast<unsigned char>(bytes[i]);
    }
    bytes.remove_prefix(sizeof(Number));
    return static_cast<Number>(number);
}

FrameHeader parseHeader(std::string_view bytes)
{
    FrameHeader header{};
    header.length = consumeNumber<std::uint32_t>(bytes);
    header.version = consumeNumber<std::uint16_t>(bytes);
    header.type = consumeNumber<std::uint16_t>(bytes);
    header.checksum = consumeNumber<std::uint64_t>(bytes);
    return header;
}

/// Parses the frame at the start of the bytes; std::nullopt if it is incomplete.
Result<std::optional<Frame>> parseFrame(std::string_view bytes, std::size_t bodyBytesMax)
{
    if (bytes.size() < frameHeaderBytes) {
        return std::optional<Frame>{};
    }
    const auto header = parseHeader(bytes);
    if (header.version != frameVersion) {
        return failure(ErrorKind::UnsupportedVersion,
                       "frame version " + std::to_string(header.version) + ", expected "
                           + std::to_string(frameVersion));
    }
    if (header.length > bodyBytesMax) {
        return failure(ErrorKind::MessageTooLarge, "frame of " + std::to_string(header.length)
                                                       + " bytes, the limit is "
                                                       + std::to_string(bodyBytesMax));
    }
    if (bytes.size() - frameHeaderBytes < header.length) {
        return std::optional<Frame>{};
    }
    const auto body = bytes.substr(frameHeaderBytes, header.length);
    if (XXH64(body.data(), body.size(), 0) != header.checksum) {
        return failure(ErrorKind::ChecksumMismatch, "the frame's checksum does not match its body");
    }
    return std::optional<Frame>{Frame{FrameType{header.type}, std::string{body}}};
}

} // namespace

std::string encodeFrame(FrameType type, std::string_view body)
{
    check(body.size() <= frameBodyBytesMax, "a frame's body fits its size limit");
    std::string bytes;
    bytes.reserve(frameHeaderBytes + body.size());
    appendNumber(bytes, static_cast<std::uint32_t>(body.size()));
    appendNumber(bytes, frameVersion);
    appendNumber(bytes, static_cast<std::uint16_t>(type));
    appendNumber(bytes, static_cast<std::uint64_t>(XXH64(body.data(), body.size(), 0)));
    bytes.append(body);
    return bytes;
}

Result<Frame> decodeDatagram(std::string_view bytes)
{
    auto frame = parseFrame(bytes, datagramBodyBytesMax);
    if (frame.has_error()) {
        return frame.as_failure();
    }
    if (!frame.value().has_value()) {
        return failure(ErrorKind::ProtocolViolation, "the datagram is truncated");
    }
    if (frame.value()->body.size() + frameHeaderBytes != bytes.size()) {
        return failure(ErrorKind::ProtocolViolation, "bytes left over after the frame");
    }
    return std::move(*frame.value());
}

Result<std::optional<Frame>> FrameReader::next()
{
    auto frame = parseFrame(std::string_view{buffer_}.substr(consumed_), bodyBytesMax_);
    if (frame.has_value() && frame.value().has_value()) {
        consumed_ += frameHeaderBytes + frame.value()->body.size();
    }
    if (consumed_ == buffer_.size() || consumed_ >= compactThresholdBytes) {
        buffer_.erase(0, consumed_);
        consumed_ = 0;
        // A buffer that has grown for a large frame is released.
        if (buffer_.empty() && buffer_.capacity() > compactThresholdBytes) {
            buffer_ = std::string{};
        }
    }
    return frame;
}

} // namespace hyssoprock
