#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <criterion/criterion.h>

#include <hyssoprock/pgwire/frontend_decoder.hpp>

using namespace hyssoprock;
using namespace hyssoprock::pgwire;

namespace {

constexpr std::size_t messageBytesMax = 1024;

std::string bigEndian(std::uint32_t value, int bytes = 4)
{
    std::string text;
    for (int i = bytes - 1; i >= 0; --i) {
        text.push_back(static_cast<char>(value >> (8 * i)));
    }
    return text;
}

std::string startup(std::uint32_t code, const std::string &body)
{
    return bigEndian(static_cast<std::uint32_t>(8 + body.size())) + bigEndian(code) + body;
}

std::string message(char type, const std::string &body)
{
    return type + bigEndian(static_cast<std::uint32_t>(4 + body.size())) + body;
}

const std::string startupBytes =
    startup(protocolVersion3, std::string{"user\0anna\0database\0orders\0\0", 27});

FrontendDecoder started()
{
    FrontendDecoder decoder{messageBytesMax};
    decoder.append(startupBytes);
    const auto first = decoder.next();
    cr_assert(first.has_value() && first.value().has_value());
    return decoder;
}

ErrorKind errorAfterStartup(const std::string &bytes)
{
    auto decoder = started();
    decoder.append(bytes);
    const auto result = decoder.next();
    return result.has_error() ? result.error().kind : ErrorKind::None;
}

ErrorKind errorAtStartup(const std::string &bytes)
{
    FrontendDecoder decoder{messageBytesMax};
    decoder.append(bytes);
    const auto result = decoder.next();
    return result.has_error() ? result.error().kind : ErrorKind::None;
}

} // namespace

// Guards against losing a message that follows another one in the same read, and against confusing
// startup messages, which have no type byte, with regular messages.
Test(frontendDecoder, negotiationStartupAndQueryInOneRead)
{
    FrontendDecoder decoder{messageBytesMax};
    decoder.append(startup(80877103, "") + startup(80877104, "") + startupBytes
                   + message('Q', std::string{"SELECT 1\0", 9}) + message('X', ""));
    cr_assert(std::holds_alternative<SslRequest>(*decoder.next().value()));
    cr_assert(std::holds_alternative<GssEncRequest>(*decoder.next().value()));
    const auto first = decoder.next().value();
    cr_assert(std::get<StartupMessage>(*first).find("database") == "orders");
    cr_assert(std::get<StartupMessage>(*first).find("user") == "anna");
    cr_assert(std::get<Query>(*decoder.next().value()).text == "SELECT 1");
    cr_assert(std::holds_alternative<Terminate>(*decoder.next().value()));
    cr_assert_not(decoder.next().value().has_value());
}

// Guards against decoding an incomplete message when the stream is received byte by byte.
Test(frontendDecoder, slowMessageIsCompleteWithItsLastByte)
{
    auto decoder = started();
    const auto bytes = message('Q', std::string{"SELECT 1\0", 9});
    for (std::size_t i = 0; i + 1 < bytes.size(); ++i) {
        decoder.append(bytes.substr(i, 1));
        cr_assert_not(decoder.next().value().has_value());
    }
    decoder.append(bytes.substr(bytes.size() - 1));
    cr_assert(decoder.next().value().has_value());
}

// Guards against buffering an oversized message, which must be refused by its header.
Test(frontendDecoder, oversizeMessageIsRefusedByItsHeader)
{
    cr_assert(errorAfterStartup("Q" + bigEndian(messageBytesMax + 1))
              == ErrorKind::MessageTooLarge);
    cr_assert(errorAfterStartup("Q" + bigEndian(0xffffffffU)) == ErrorKind::MessageTooLarge);
    cr_assert(errorAtStartup(bigEndian(startupBytesMax + 1)) == ErrorKind::MessageTooLarge);
    const auto largest = message('Q', std::string(messageBytesMax - 5, 'x') + '\0');
    cr_assert(errorAfterStartup(largest) == ErrorKind::None);
}

// Guards against reading beyond the end of a message with inconsistent lengths.
Test(frontendDecoder, malformedBodiesAreRefused)
{
    const std::string zero(1, '\0');
    const std::vector<std::string> malformed{
        message('Q', "no end"),
        message('Q', "two" + zero + "texts" + zero),
        message('S', "x"),
        message('D', "Tname" + zero),
        message('E', "portal" + zero + bigEndian(1, 2)),
        message('P', zero + zero + bigEndian(3, 2) + bigEndian(25)),
        // A value with a length beyond the end of the message.
        message('B', zero + zero + bigEndian(0, 2) + bigEndian(1, 2) + bigEndian(1000) + "abc"
                         + bigEndian(0, 2)),
        // Format 2 does not exist.
        message('B', zero + zero + bigEndian(1, 2) + bigEndian(2, 2) + bigEndian(0, 2)
                         + bigEndian(0, 2)),
        // Two formats for three values.
        message('B', zero + zero + bigEndian(2, 2) + bigEndian(0) + bigEndian(3, 2) + bigEndian(0)
                         + bigEndian(0) + bigEndian(0) + bigEndian(0, 2)),
        "Q" + bigEndian(3),
        "?" + bigEndian(4),
        std::string(5, '\0'),
    };
    for (const auto &bytes : malformed) {
        cr_assert(errorAfterStartup(bytes) == ErrorKind::ProtocolViolation);
    }
    cr_assert(errorAtStartup(bigEndian(7)) == ErrorKind::ProtocolViolation);
    cr_assert(errorAtStartup(startup(protocolVersion3, "user")) == ErrorKind::ProtocolViolation);
    cr_assert(errorAtStartup(startup(80877102, "short")) == ErrorKind::ProtocolViolation);
    cr_assert(errorAtStartup(startup(2U << 16U, "")) == ErrorKind::UnsupportedVersion);
}

// Guards against decoding more messages after an error, when the position in the stream is lost.
Test(frontendDecoder, errorIsFinal)
{
    auto decoder = started();
    decoder.append("?" + bigEndian(4));
    cr_assert(decoder.next().has_error());
    decoder.append(message('S', ""));
    cr_assert(decoder.next().has_error());
    cr_assert_eq(decoder.bufferedBytes(), 0);
}

// Guards against confusing NULL with empty values and losing fields of extended query messages.
Test(frontendDecoder, extendedQueryMessages)
{
    auto decoder = started();
    const std::string zero(1, '\0');
    decoder.append(message('P', "s" + zero + "SELECT $1" + zero + bigEndian(1, 2) + bigEndian(25)));
    decoder.append(message('B', "p" + zero + "s" + zero + bigEndian(0, 2) + bigEndian(3, 2)
                                    + bigEndian(0xffffffffU) + bigEndian(0) + bigEndian(2) + "ab"
                                    + bigEndian(1, 2) + bigEndian(1, 2)));
    decoder.append(message('D', "Pp" + zero) + message('E', "p" + zero + bigEndian(7))
                   + message('C', "Ss" + zero) + message('S', "") + message('H', ""));
    const Parse parse{"s", "SELECT $1", {25}};
    const Bind bind{"p", "s", {}, {std::nullopt, "", "ab"}, {1}};
    const Describe describe{ObjectKind::Portal, "p"};
    const Execute execute{"p", 7};
    const Close close{ObjectKind::Statement, "s"};
    const std::vector<FrontendMessage> expected{parse, bind,   describe, execute,
                                                close, Sync{}, Flush{}};
    for (const auto &want : expected) {
        cr_assert(decoder.next().value() == want);
    }
}
