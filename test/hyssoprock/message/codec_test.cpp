#include <string>

#include <criterion/criterion.h>

#include <hyssoprock/core/random_source.hpp>
#include <hyssoprock/message/codec.hpp>
#include <hyssoprock/message/consensus.hpp>
#include <hyssoprock/message/control.hpp>

using namespace hyssoprock;

namespace {

AppendRequest sampleAppend()
{
    AppendRequest request;
    request.from = "control-a";
    request.term = 7;
    request.entries = {LogEntry{{6, 41}, LogEntryKind::Command, "payload"},
                       LogEntry{{7, 42}, LogEntryKind::Empty, ""}};
    request.commitIndex = 40;
    return request;
}

} // namespace

// Guards against fields that are not decoded, or decoded in another order than encoded.
Test(codec, messagesRoundTrip)
{
    const auto request = sampleAppend();
    cr_assert(decode<AppendRequest>(encode(request)).value() == request);

    const CatalogCommand command{OperatorChange{"id-1", 4, "anna", DeclareGroup{"orders", 3}}};
    cr_assert(decode<CatalogCommand>(encode(command)).value() == command);
}

// Guards against accepting a truncated message or one with trailing bytes.
Test(codec, rejectsTruncatedAndOverlongBodies)
{
    const auto bytes = encode(sampleAppend());
    for (std::size_t length = 0; length < bytes.size(); ++length) {
        cr_assert(decode<AppendRequest>(bytes.substr(0, length)).has_error());
    }
    cr_assert(decode<AppendRequest>(bytes + "x").has_error());
}

// Guards against a corrupt length that allocates memory before the input is found too short, and
// against any other crash of the decoder. Seed 11.
Test(codec, corruptBytesDoNotCrashTheDecoder)
{
    RandomSource random{11};
    const auto original = encode(sampleAppend());
    for (int round = 0; round < 20000; ++round) {
        auto bytes = original;
        const auto changes = 1 + random.below(4);
        for (std::uint64_t i = 0; i < changes; ++i) {
            bytes[random.below(bytes.size())] = static_cast<char>(random.below(256));
        }
        const auto decoded = decode<AppendRequest>(bytes);
        cr_assert(decoded.has_value() || decoded.error().kind == ErrorKind::ProtocolViolation);
    }
}
