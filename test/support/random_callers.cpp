#include "random_callers.hpp"

namespace hyssoprock::test {

using namespace std::chrono_literals;

std::string randomStatement(RandomSource &random, TransactionState state)
{
    const auto item = [&random]() { return "i" + std::to_string(random.below(5)); };
    const auto name = std::string(1, static_cast<char>('a' + random.below(3)));
    const auto draw = random.below(100);
    if (state == TransactionState::Failed) {
        return draw < 45 ? "ROLLBACK" : draw < 90 ? "COMMIT" : "READ " + item();
    }
    if (state == TransactionState::Open && draw < 30) {
        return draw < 24 ? "COMMIT" : "ROLLBACK";
    }
    if (state == TransactionState::Idle && draw < 20) {
        return draw < 12 ? "BEGIN" : "BEGIN READ";
    }
    if (draw < 36) {
        return "SET " + name + " " + std::to_string(random.below(3));
    }
    if (draw < 44) {
        // Operands of + are evaluated in an order that depends on the processor and the compiler.
        const auto *kind = random.chance(50) ? " READ " : " WRITE ";
        return "PREPARE " + name + kind + "shape" + std::to_string(random.below(4));
    }
    if (draw < 46) {
        return "DEALLOC " + name;
    }
    if (draw < 58) {
        return "EXECUTE " + name + " " + item() + " data";
    }
    if (draw < 59) {
        return "NONSENSE";
    }
    return draw < 85 ? "READ " + item() : "WRITE " + item() + " data";
}

std::string injectEndpointFault(EndpointGroupSimulation &group, const std::string &id,
                                RandomSource &random,
                                const std::function<void(Duration, std::function<void()>)> &later)
{
    switch (random.below(14)) {
    case 0:
        group.refuse(id, true);
        later(random.between(10ms, 600ms), [&group, id]() { group.refuse(id, false); });
        return "connections refused";
    case 1:
        group.delayTrafficUntil(id, group.now() + random.between(5ms, 1500ms));
        return "endpoint silent";
    case 2:
    case 3:
        group.delayNextResponse(id, random.between(50ms, 2s));
        return "answer late";
    case 4:
        group.delayNextResponse(id, std::nullopt);
        return "answer lost";
    case 5:
    case 6:
        if (const auto open = group.connections(id); !open.empty()) {
            group.dropConnection(open[random.below(open.size())]);
            return "connection reset";
        }
        return {};
    case 7:
        group.setReplicationDelay(id, random.between(0ms, 1s));
        return "replication slow";
    case 8:
        group.setReplicationPaused(id, true);
        later(random.between(50ms, 1500ms),
              [&group, id]() { group.setReplicationPaused(id, false); });
        return "replica deaf";
    case 9:
        group.failNextStatement(id);
        return "statement failed";
    case 10:
        group.clearPreparedStatements(id);
        return "prepared statements forgotten";
    case 11:
    case 12:
        group.failNextSettings(id, 1 + random.below(6), random.chance(50));
        return "session values refused";
    default:
        group.setSlots(id, static_cast<std::uint32_t>(1 + random.below(5)));
        return "slots changed";
    }
}

} // namespace hyssoprock::test
