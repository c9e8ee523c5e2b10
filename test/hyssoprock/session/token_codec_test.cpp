#include <string>

#include <criterion/criterion.h>

#include <hyssoprock/core/random_source.hpp>
#include <hyssoprock/session/base64_url.hpp>
#include <hyssoprock/session/session_floor.hpp>
#include <hyssoprock/session/token_codec.hpp>

using namespace hyssoprock;

namespace {

const TokenCodec codec{"sixteen bytes or more"};

SessionFloor sampleFloor()
{
    SessionFloor floor;
    floor.establish("orders", {3, 41});
    floor.establish("customers", {2, 7});
    floor.invalidate("customers");
    return floor;
}

ErrorKind kindOf(const Result<SessionFloor> &result)
{
    return result.has_value() ? ErrorKind::None : result.error().kind;
}

} // namespace

// Guards against a floor that a token does not carry unchanged to another entry host.
Test(token_codec, aTokenCarriesPositionsAndWhetherTheyAreKnown)
{
    const auto token = codec.encode(sampleFloor());
    cr_assert(codec.decode(token).value() == sampleFloor());
    cr_assert(token.find_first_of("+/='\" ") == std::string::npos);
}

// Guards against accepting a modified, truncated or forged token.
Test(token_codec, everyDamagedTokenIsRefused)
{
    const auto token = codec.encode(sampleFloor());
    for (std::size_t i = 0; i < token.size(); ++i) {
        auto damaged = token;
        damaged[i] = damaged[i] == 'A' ? 'B' : 'A';
        cr_assert(kindOf(codec.decode(damaged)) == ErrorKind::InvalidToken);
        cr_assert(kindOf(codec.decode(token.substr(0, i))) == ErrorKind::InvalidToken);
    }
    cr_assert(kindOf(codec.decode(token + "A")) == ErrorKind::InvalidToken);
    cr_assert(kindOf(codec.decode("not a token!")) == ErrorKind::InvalidToken);
    const std::string tooLong(TokenCodec::tokenBytesMax + 1, 'A');
    cr_assert(kindOf(codec.decode(tooLong)) == ErrorKind::InvalidToken);
}

// Guards against accepting tokens of another installation.
Test(token_codec, aTokenSignedWithAnotherKeyIsRefused)
{
    const TokenCodec other{"another key of some length"};
    cr_assert(kindOf(other.decode(codec.encode(sampleFloor()))) == ErrorKind::InvalidToken);
}

// Guards against tokens that exceed the size limit of a SET statement.
Test(token_codec, aHugeFloorStillGivesAValidToken)
{
    SessionFloor floor;
    for (int i = 0; i < 500; ++i) {
        floor.establish("group-" + std::to_string(i), {1, static_cast<std::uint64_t>(i)});
    }
    const auto token = codec.encode(floor);
    cr_assert_leq(token.size(), TokenCodec::tokenBytesMax);
    const auto decoded = codec.decode(token).value();
    cr_assert(floor.covers(decoded));
    cr_assert_gt(decoded.entries().size(), 50U);
}

// Guards against two encodings of one token, and against out-of-range reads.
Test(token_codec, base64AcceptsExactlyItsOwnOutput)
{
    RandomSource random{7};
    for (int i = 0; i < 200; ++i) {
        std::string bytes(random.below(20), '\0');
        for (auto &byte : bytes) {
            byte = static_cast<char>(random.below(256));
        }
        const auto text = internal::encodeBase64Url(bytes);
        cr_assert(internal::decodeBase64Url(text).value() == bytes);
    }
    cr_assert_not(internal::decodeBase64Url("A").has_value());
    cr_assert_not(internal::decodeBase64Url("AB").has_value());
    cr_assert_not(internal::decodeBase64Url("AA==").has_value());
}

// Guards against a token or merge that lowers a session's floor.
Test(session_floor, aFloorIsNeverLowered)
{
    SessionFloor floor;
    floor.establish("orders", {2, 10});
    SessionFloor older;
    older.establish("orders", {1, 99});
    older.establish("customers", {1, 1});
    floor.merge(older);
    const LogPosition expected{2, 10};
    cr_assert(floor.establishedPosition("orders").value() == expected);
    cr_assert(floor.establishedPosition("customers").has_value());
    cr_assert(floor.covers(older));
    cr_assert_not(older.covers(floor));
    floor.establish("orders", {2, 9});
    cr_assert(floor.lowerBound("orders") == expected);
}

// Guards against a replica read that misses a write of unknown outcome, on the same entry host or
// on another one.
Test(session_floor, anUnknownOutcomeSurvivesATokenAndAMerge)
{
    auto floor = sampleFloor();
    const auto before = floor;
    floor.invalidate("orders");
    cr_assert_not(floor.establishedPosition("orders").has_value());
    floor.merge(before);
    cr_assert_not(floor.establishedPosition("orders").has_value());
    cr_assert_not(
        codec.decode(codec.encode(floor)).value().establishedPosition("orders").has_value());
    floor.raise("orders", {4, 1});
    cr_assert_not(floor.establishedPosition("orders").has_value());
    floor.establish("orders", {3, 50});
    const LogPosition expected{4, 1};
    cr_assert(floor.establishedPosition("orders").value() == expected);
}
