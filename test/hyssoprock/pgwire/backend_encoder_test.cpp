#include <optional>
#include <string>
#include <vector>

#include <criterion/criterion.h>

#include <hyssoprock/pgwire/backend_encoder.hpp>

using namespace hyssoprock;
using namespace hyssoprock::pgwire;

// Guards against a wrong length field, after which the caller could not decode the stream.
Test(backendEncoder, messagesAreLaidOutByTheProtocol)
{
    BackendEncoder encoder;
    encoder.refuseEncryption();
    encoder.authenticationOk();
    encoder.parameterStatus("a", "b");
    encoder.readyForQuery(TransactionStatus::InTransaction);
    const std::string expected{"N"
                               "R\0\0\0\x08\0\0\0\0"
                               "S\0\0\0\x08"
                               "a\0b\0"
                               "Z\0\0\0\x05T",
                               25};
    cr_assert(encoder.take() == expected);
    cr_assert(encoder.bytes().empty());
}

// Guards against encoding NULL as an empty string and vice versa.
Test(backendEncoder, nullDiffersFromEmpty)
{
    BackendEncoder encoder;
    const std::vector<std::optional<std::string>> row{std::nullopt, "", "x"};
    encoder.dataRow(std::span<const std::optional<std::string>>{row});
    const std::string expected{"D\0\0\0\x13\0\x03\xff\xff\xff\xff\0\0\0\0\0\0\0\x01x", 20};
    cr_assert(encoder.take() == expected);
}

// Guards against a zero byte in a string, which would shift the following fields.
Test(backendEncoder, zeroByteEndsAText)
{
    BackendEncoder encoder;
    encoder.commandComplete(std::string_view{"A\0B", 3});
    const std::string expected{"C\0\0\0\x06"
                               "A\0",
                               7};
    cr_assert(encoder.take() == expected);
}

// Guards against an SQLSTATE that differs from the table of error kinds.
Test(backendEncoder, errorsCarryTheirState)
{
    BackendEncoder encoder;
    encoder.errorResponse(toNotice({ErrorKind::OutcomeUnknown, "detail"}));
    const auto bytes = encoder.take();
    cr_assert(bytes.find(std::string{"C08007\0", 7}) != std::string::npos);
    cr_assert(bytes.find(std::string{"Ddetail\0", 8}) != std::string::npos);
    cr_assert_eq(bytes[bytes.size() - 1], '\0');
}
