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

// Guards against a stream whose cuts do not fall on frame borders: every cut must give the frame.
Test(frame, framesSurviveEveryCutOfTheStream)
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
        cr_assert_not(reader.midFrame());
    }
}

// Guards against waiting for, or reserving memory for, a body that is over the limit.
Test(frame, anOversizeFrameIsRefusedByItsHeader)
{
    FrameReader reader{100};
    reader.append(encodeFrame(FrameType{40}, std::string(101, 'x')).substr(0, frameHeaderBytes));
    const auto frame = reader.next();
    cr_assert(frame.has_error());
    cr_assert(frame.error().kind == ErrorKind::MessageTooLarge);
}

// Guards against accepting a damaged body. Each single flipped bit of the body must be noticed.
Test(frame, everyFlippedBitOfTheBodyIsNoticed)
{
    const auto bytes = frameOf(sampleAnnouncement());
    for (std::size_t bit = frameHeaderBytes * 8; bit < bytes.size() * 8; ++bit) {
        auto damaged = bytes;
        damaged[bit / 8] = static_cast<char>(damaged[bit / 8] ^ (1 << (bit % 8)));
        const auto frame = decodeDatagram(damaged);
        cr_assert(frame.has_error());
        cr_assert(frame.error().kind == ErrorKind::ChecksumMismatch);
    }
}

// Guards against reading a frame of another version by this version's rules.
Test(frame, anotherVersionIsRefused)
{
    auto bytes = frameOf(sampleAnnouncement());
    bytes[5] = 2;
    cr_assert(decodeDatagram(bytes).error().kind == ErrorKind::UnsupportedVersion);
}

// Guards against taking a truncated datagram, or one with bytes after its frame, for a message.
Test(frame, truncatedAndOverlongDatagramsAreRefused)
{
    const auto bytes = frameOf(sampleAnnouncement());
    for (std::size_t length = 0; length < bytes.size(); ++length) {
        cr_assert(decodeDatagram(bytes.substr(0, length)).has_error());
    }
    cr_assert(decodeDatagram(bytes + "x").has_error());
    cr_assert(messageIn<Announcement>(decodeDatagram(bytes).value()).value()
              == sampleAnnouncement());
}

// Guards against decoding one message type as another.
Test(frame, aFrameOfAnotherTypeIsNotDecoded)
{
    const auto frame = decodeDatagram(frameOf(sampleAnnouncement())).value();
    cr_assert(messageIn<PeerPing>(frame).error().kind == ErrorKind::ProtocolViolation);
}

// Guards against crashes on arbitrary bytes. Seed 5.
Test(frame, randomBytesNeverCrashTheReader)
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
