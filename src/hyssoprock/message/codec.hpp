#pragma once

#include <cstdint>
#include <exception>
#include <sstream>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>
#include <vector>

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/optional.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>

#include <hyssoprock/core/result.hpp>

/// @file
/// @brief Encodes and decodes message bodies with cereal's portable binary archive.

namespace cereal {

/// @brief Reads a flag as a byte: any value but 0 and 1 would be undefined behaviour in a bool.
inline void CEREAL_LOAD_FUNCTION_NAME(PortableBinaryInputArchive &archive, bool &flag)
{
    std::uint8_t byte = 0;
    archive(byte);
    if (byte > 1) {
        throw Exception("a flag is neither 0 nor 1");
    }
    flag = byte == 1;
}

/// @brief Reads a string in blocks, so that a corrupt length fails at the end of the input instead
/// of allocating that much memory.
template <class Traits, class Allocator>
inline void CEREAL_LOAD_FUNCTION_NAME(PortableBinaryInputArchive &archive,
                                      std::basic_string<char, Traits, Allocator> &text)
{
    constexpr size_type blockBytes = 65536;
    size_type remaining = 0;
    archive(make_size_tag(remaining));
    text.clear();
    while (remaining > 0) {
        const auto block = remaining < blockBytes ? remaining : blockBytes;
        const auto offset = text.size();
        text.resize(offset + static_cast<std::size_t>(block));
        archive(binary_data(text.data() + offset, static_cast<std::size_t>(block)));
        remaining -= block;
    }
}

/// @brief Reads a list element by element, so that a corrupt length does not allocate memory.
template <class T, class Allocator>
inline std::enable_if_t<!std::is_arithmetic_v<T>>
CEREAL_LOAD_FUNCTION_NAME(PortableBinaryInputArchive &archive, std::vector<T, Allocator> &list)
{
    size_type remaining = 0;
    archive(make_size_tag(remaining));
    list.clear();
    for (; remaining > 0; --remaining) {
        T element{};
        archive(element);
        list.push_back(std::move(element));
    }
}

} // namespace cereal

namespace hyssoprock {

/// @brief Encodes a message.
/// @param message Any generated message or durable record.
/// @return Encoded message.
template <class Message>
[[nodiscard]] std::string encode(const Message &message)
{
    std::ostringstream stream;
    {
        cereal::PortableBinaryOutputArchive archive{stream};
        archive(message);
    }
    return std::move(stream).str();
}

/// @brief Decodes a message.
/// @param bytes Exactly one encoded message, without trailing bytes.
/// @return The message, or ProtocolViolation if bytes are missing, trailing or invalid.
template <class Message>
[[nodiscard]] Result<Message> decode(std::string_view bytes)
{
    try {
        std::istringstream stream{std::string{bytes}};
        Message message;
        cereal::PortableBinaryInputArchive archive{stream};
        archive(message);
        if (stream.peek() != std::istringstream::traits_type::eof()) {
            return failure(ErrorKind::ProtocolViolation, "bytes left over after the message");
        }
        return message;
    } catch (const std::exception &error) {
        return failure(ErrorKind::ProtocolViolation, error.what());
    }
}

} // namespace hyssoprock
