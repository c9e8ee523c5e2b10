#include <string>

#include <criterion/criterion.h>

#include <hyssoprock/core/random_source.hpp>
#include <hyssoprock/message/membership.hpp>
#include <hyssoprock/transport/frame.hpp>

using namespace hyssoprock;

namespace {

Announcement sampleAnnouncement()
{
    return Announcement{"orders-1", "orders", "lulea-a", "127.0.0.1:5432", 3, 35, 5};
}

} // namespace

// Guards against losing frames if the data is received in pieces that do not end at a frame
// boundary.
Test(frame, framesAreReassembledFromAnySplit)
{
    const auto bytes = frameOf(sampleAnnouncement()) + frameOf(PeerPing{});
    for (std::size_t cut = 0; cut <= bytes.size(); ++cut) {
        FrameReader reader;
        std::string types;
        for (const auto &part : {bytes.substr(0, cut), bytes.substr(cut)}) {
            reader.append(part);
            for (auto frame = reader.next(); frame.value().has_value(); frame = reader.next()) {
                types += holds<Announcement>(*frame.value()) ? 'a' : 'p';
            }
        }
        cr_assert(types == "ap", "cut at %zu", cut);
        cr_assert_not(reader.hasPartialFrame());
    }
}

// Guards against waiting for, or allocating memory for, a body over the size limit.
Test(frame, oversizedFrameIsRejectedByItsHeader)
{
    FrameReader reader{100};
    reader.append(encodeFrame(FrameType{40}, std::string(101, 'x')).substr(0, frameHeaderBytes));
    const auto frame = reader.next();
    cr_assert(frame.has_error());
    cr_assert(frame.error().kind == ErrorKind::MessageTooLarge);
}

// Guards against accepting a corrupted body: each single-bit error must be detected.
Test(frame, singleBitErrorsInTheBodyAreDetected)
{
    const auto bytes = frameOf(sampleAnnouncement());
    for (std::size_t bit = frameHeaderBytes * 8; bit < bytes.size() * 8; ++bit) {
        auto corrupted = bytes;
        corrupted[bit / 8] = static_cast<char>(corrupted[bit / 8] ^ (1 << (bit % 8)));
        const auto frame = decodeDatagram(corrupted);
        cr_assert(frame.has_error());
        cr_assert(frame.error().kind == ErrorKind::ChecksumMismatch);
    }
}

// Guards against decoding frames of an unsupported protocol version.
Test(frame, unsupportedVersionIsRejected)
{
    auto bytes = frameOf(sampleAnnouncement());
    bytes[5] = 2;
    cr_assert(decodeDatagram(bytes).error().kind == ErrorKind::UnsupportedVersion);
}

// Guards against accepting a truncated datagram, or one with trailing bytes.
Test(frame, truncatedAndOverlongDatagramsAreRejected)
{
    const auto bytes = frameOf(sampleAnnouncement());
    for (std::size_t length = 0; length < bytes.size(); ++length) {
        cr_assert(decodeDatagram(bytes.substr(0, length)).has_error());
    }
    cr_assert(decodeDatagram(bytes + "x").has_error());
    cr_assert(decodeMessage<Announcement>(decodeDatagram(bytes).value()).value()
              == sampleAnnouncement());
}

// Guards against decoding a message as another type.
Test(frame, frameOfAnotherTypeIsNotDecoded)
{
    const auto frame = decodeDatagram(frameOf(sampleAnnouncement())).value();
    cr_assert(decodeMessage<PeerPing>(frame).error().kind == ErrorKind::ProtocolViolation);
}

// Guards against crashes on corrupted input. Seed 5.
Test(frame, randomBytesDoNotCrashTheReader)
{
    RandomSource random{5};
    for (int round = 0; round < 5000; ++round) {
        auto bytes = frameOf(sampleAnnouncement());
        bytes[random.below(bytes.size())] = static_cast<char>(random.below(256));
        FrameReader reader{1000};
        reader.append(bytes);
        const auto frame = reader.next();
        cr_assert(frame.has_error() || !frame.value().has_value()
                  || frame.value()->body.size() + frameHeaderBytes == bytes.size());
    }
}
