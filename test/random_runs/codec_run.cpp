#include "codec_run.hpp"

#include <string>

#include <hyssoprock/core/invariant.hpp>
#include <hyssoprock/core/random_source.hpp>
#include <hyssoprock/message/codec.hpp>
#include <hyssoprock/message/control.hpp>
#include <hyssoprock/message/membership.hpp>
#include <support/event_digest.hpp>

namespace hyssoprock::random_runs {

namespace {

constexpr int roundsPerSeed = 500;

std::string damaged(std::string bytes, RandomSource &random)
{
    const auto changes = 1 + random.below(6);
    for (std::uint64_t i = 0; i < changes && !bytes.empty(); ++i) {
        bytes[random.below(bytes.size())] = static_cast<char>(random.below(256));
    }
    if (random.chance(20)) {
        bytes.resize(random.below(bytes.size() + 1));
    }
    return bytes;
}

template <class Message>
void damageAndDecode(const Message &message, RandomSource &random, RunReport &report)
{
    const auto original = encode(message);
    check(decode<Message>(original).value() == message, "an undamaged message decodes unchanged");
    for (int round = 0; round < roundsPerSeed; ++round) {
        const auto bytes = damaged(original, random);
        const auto decoded = decode<Message>(bytes);
        test::eventDigest().record(bytes, decoded.has_value());
        ++report.steps;
        ++report.faults["damaged message"];
        ++report.events[decoded.has_value() ? "decoded" : "refused"];
    }
}

} // namespace

RunReport runCodec(std::uint64_t seed)
{
    RandomSource random{seed};
    RunReport report;
    HostRenewRequest renew;
    renew.host = "entry-" + std::to_string(random.below(100));
    renew.evidence = {FailureEvidence{"orders-1", true, 20, "primary", 3, {3, random.below(1000)}}};
    renew.quiesced = {"orders"};
    damageAndDecode(renew, random, report);

    PeerPing ping;
    ping.from = HostRecord{"entry-1", "dc-a", "127.0.0.1:4000", random.next(), HostState::Alive};
    ping.records = {ping.from, ping.from};
    damageAndDecode(ping, random, report);
    return report;
}

} // namespace hyssoprock::random_runs
