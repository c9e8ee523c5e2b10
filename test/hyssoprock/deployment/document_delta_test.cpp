#include <algorithm>
#include <chrono>
#include <memory>
#include <string>

#include <criterion/criterion.h>

#include <hyssoprock/core/random_source.hpp>
#include <hyssoprock/deployment/document_archive.hpp>
#include <hyssoprock/deployment/document_delta.hpp>
#include <hyssoprock/message/codec.hpp>

using namespace hyssoprock;

namespace {

Route routeOf(std::uint64_t number, RandomSource &random)
{
    Route route;
    route.name = "route-" + std::to_string(number);
    route.database = "tenant-" + std::to_string(number);
    route.pathPrefix = "/" + std::to_string(random.below(100));
    route.service = "service";
    route.readConsistency = static_cast<ReadConsistency>(random.below(3));
    route.statementTimeout = Duration{1 + random.below(100000)};
    route.attempts = 1 + static_cast<std::uint32_t>(random.below(3));
    return route;
}

DeploymentDocument documentOf(std::uint64_t version, std::size_t routes, RandomSource &random)
{
    DeploymentDocument document;
    document.version = version;
    document.services = {Service{"service", 30, 0}};
    for (std::size_t i = 0; i < routes; ++i) {
        document.routes.push_back(routeOf(i, random));
    }
    return document;
}

/// Adds, removes, changes and moves random routes and services.
DeploymentDocument edited(DeploymentDocument document, RandomSource &random)
{
    ++document.version;
    for (auto edits = random.below(6); edits > 0; --edits) {
        auto &routes = document.routes;
        const auto at = routes.empty() ? 0 : random.below(routes.size());
        const auto place = routes.begin() + static_cast<std::ptrdiff_t>(at);
        switch (random.below(5)) {
        case 0:
            routes.insert(place, routeOf(1000 + random.below(1000000), random));
            break;
        case 1:
            if (!routes.empty()) {
                routes.erase(place);
            }
            break;
        case 2:
            if (!routes.empty()) {
                place->statementTimeout += Duration{1};
            }
            break;
        case 3:
            std::rotate(routes.begin(), place, routes.end());
            break;
        default:
            document.services.push_back(Service{"s" + std::to_string(random.below(1000000)), 3, 1});
            break;
        }
    }
    document.transactionIdleTimeout = Duration{random.below(2) * 1000000};
    return document;
}

} // namespace

// Guards against a delta that loses an item or changes the order of the routes, which decides
// between equally good routes. Seeds 1 to 300.
Test(documentDelta, theResultEqualsTheDocumentOfTheSender)
{
    for (std::uint64_t seed = 1; seed <= 300; ++seed) {
        RandomSource random{seed};
        const auto base = documentOf(seed, random.below(40), random);
        const auto next = edited(base, random);
        const auto answer = compressDelta(computeDelta(&base, next));
        const auto delta = decompressDelta(answer).value();
        const auto result = applyDelta(&base, delta);
        cr_assert(result.has_value() && result.value() == next, "seed %lu",
                  static_cast<unsigned long>(seed));
        const auto whole = applyDelta(&base, computeDelta(nullptr, next));
        cr_assert(whole.has_value() && whole.value() == next);
    }
}

// Guards against putting a wrong document in force because the receiver holds another base,
// possibly of the same version, or because the message was damaged.
Test(documentDelta, aWrongBaseOrDamageIsDetected)
{
    RandomSource random{7};
    const auto base = documentOf(3, 30, random);
    const auto next = edited(base, random);
    const auto delta = computeDelta(&base, next);
    auto other = base;
    other.routes[4].attempts += 1;
    cr_assert(applyDelta(&other, delta).error().kind == ErrorKind::InvalidValue);
    other = base;
    other.version = 2;
    cr_assert(applyDelta(&other, delta).error().kind == ErrorKind::InvalidValue);
    cr_assert(applyDelta(nullptr, delta).error().kind == ErrorKind::InvalidValue);

    const auto answer = compressDelta(delta);
    const auto plain = encode(delta);
    for (int i = 0; i < 2000; ++i) {
        auto damaged = answer;
        const auto at = random.below(damaged.body.size());
        damaged.body[at] = static_cast<char>(damaged.body[at] ^ (1U << random.below(8)));
        if (const auto read = decompressDelta(damaged); read.has_value()) {
            const auto result = applyDelta(&base, read.value());
            cr_assert(result.has_error() || result.value() == next);
        }
        auto bytes = plain;
        const auto place = random.below(bytes.size());
        bytes[place] = static_cast<char>(bytes[place] ^ (1U << random.below(8)));
        if (const auto read = decode<DocumentDelta>(bytes); read.has_value()) {
            const auto result = applyDelta(&base, read.value());
            cr_assert(result.has_error() || result.value() == next);
        }
    }
}

// Guards against a message with a claimed size that exceeds the receiver's memory.
Test(documentDelta, theClaimedSizeIsLimited)
{
    RandomSource random{1};
    auto answer = compressDelta(computeDelta(nullptr, documentOf(1, 3, random)));
    answer.bytes = std::uint64_t{60} * 1024 * 1024;
    cr_assert(decompressDelta(answer).error().kind == ErrorKind::ProtocolViolation);
}

// Guards against a small message that takes hundreds of MB after decompression: 9 MiB of zero bytes
// compress to about 41 KB.
Test(documentDelta, aSmallMessageDoesNotExpandWithoutBound)
{
    DocumentDelta delta;
    delta.routes.resize(1);
    delta.routes[0].added.resize(1);
    delta.routes[0].added[0].name.assign(std::size_t{9} * 1024 * 1024, '\0');
    const auto answer = compressDelta(delta);
    cr_assert(answer.body.size() < 50000, "%zu bytes", answer.body.size());
    const auto read = decompressDelta(answer);
    cr_assert(read.has_error() && read.error().kind == ErrorKind::ProtocolViolation);
}

// Guards against a limit that rejects the largest document that an operator may send, 4 MiB of
// JSON: each route takes more than 73 bytes there, and each service more than 24.
Test(documentDelta, theLargestDocumentIsAccepted)
{
    constexpr std::size_t documentBytesMax = std::size_t{4} * 1024 * 1024;
    RandomSource random{5};
    auto routes = documentOf(1, 0, random);
    for (std::size_t i = 0; i < documentBytesMax / 73; ++i) {
        auto &route = routes.routes.emplace_back();
        route.database = std::to_string(i);
        route.service = "service";
        route.statementTimeout = Duration{1};
    }
    auto services = documentOf(1, 0, random);
    for (std::size_t i = 0; i < documentBytesMax / 24; ++i) {
        services.services.push_back({std::to_string(i), 3, 0});
    }
    auto longNames = documentOf(1, 1, random);
    longNames.routes[0].pathPrefix.assign(documentBytesMax, 'x');
    for (const auto &document : {routes, services, longNames}) {
        const auto delta = decompressDelta(compressDelta(computeDelta(nullptr, document)));
        cr_assert(delta.has_value());
        cr_assert(applyDelta(nullptr, delta.value()).value() == document);
    }
}

// Guards against sums of deadlines that exceed the range of Duration.
Test(documentDelta, durationsOutOfRangeAreRejected)
{
    RandomSource random{8};
    const auto document = documentOf(1, 1, random);
    constexpr std::int64_t longestUs = 1'000'000'000'000'000;
    for (const auto time : {&RouteRecord::statementTimeoutUs, &RouteRecord::targetLatencyUs,
                            &RouteRecord::stalenessUs}) {
        for (const auto value : {std::int64_t{-1}, longestUs + 1}) {
            auto delta = computeDelta(nullptr, document);
            delta.routes.at(0).added.at(0).*time = value;
            const auto result = applyDelta(nullptr, delta);
            cr_assert(result.has_error() && result.error().kind == ErrorKind::InvalidValue);
        }
    }
    for (const auto value : {std::int64_t{-1}, longestUs + 1}) {
        auto delta = computeDelta(nullptr, document);
        delta.transactionIdleUs = value;
        const auto result = applyDelta(nullptr, delta);
        cr_assert(result.has_error() && result.error().kind == ErrorKind::InvalidValue);
    }
    auto limit = document;
    limit.routes[0].statementTimeout = Duration{longestUs};
    limit.transactionIdleTimeout = Duration{longestUs};
    cr_assert(applyDelta(nullptr, computeDelta(nullptr, limit)).value() == limit);
}

// Guards against a delta that multiplies the base: 10,000 parts of 16 bytes that each refer to all
// of its routes would produce 10 million routes.
Test(documentDelta, partsThatRepeatTheBaseAreLimited)
{
    RandomSource random{6};
    const auto base = documentOf(1, 1000, random);
    auto delta = computeDelta(&base, base);
    cr_assert(delta.routes.size() == 1);
    delta.routes.resize(10000, delta.routes[0]);
    const auto result = applyDelta(&base, delta);
    cr_assert(result.has_error() && result.error().kind == ErrorKind::InvalidValue);
    cr_assert(result.error().detail == "the delta produces too large a document");

    auto wide = computeDelta(&base, base);
    wide.services.resize(1000000, wide.services.at(0));
    cr_assert(applyDelta(&base, wide).error().detail == "the delta produces too large a document");
}

// Guards against a delta for a receiver whose base is unknown or different, and against an archive
// that grows with each change.
Test(documentArchive, onlyKnownBasesAreUsed)
{
    RandomSource random{5};
    DocumentArchive archive{3};
    cr_assert(!archive.newest());
    std::vector<DeploymentDocument> versions;
    for (std::uint64_t version = 1; version <= 5; ++version) {
        versions.push_back(documentOf(version, 10, random));
        archive.add(std::make_shared<const DeploymentDocument>(versions.back()));
    }
    archive.add(std::make_shared<const DeploymentDocument>(versions[1]));
    cr_assert_eq(archive.newest()->version, 5);
    cr_assert_eq(archive.deltaBase(4, computeDigest(versions[3])), 4);
    cr_assert_eq(archive.deltaBase(4, computeDigest(versions[2])), 0,
                 "different document of version 4");
    cr_assert_eq(archive.deltaBase(2, computeDigest(versions[1])), 0, "too old");
    cr_assert_eq(archive.deltaBase(9, 1), 0, "unknown version");
    cr_assert_eq(archive.deltaBase(0, 0), 0);
    cr_assert(applyDelta(&versions[3], archive.deltaFrom(4)).value() == versions[4]);
    cr_assert(applyDelta(nullptr, archive.deltaFrom(0)).value() == versions[4]);
}

// Guards against many large documents that together exceed the memory of the host.
Test(documentArchive, memoryIsLimited)
{
    RandomSource random{6};
    DocumentArchive archive{100, 100000};
    std::vector<DeploymentDocument> versions;
    for (std::uint64_t version = 1; version <= 50; ++version) {
        versions.push_back(documentOf(version, 100, random));
        archive.add(std::make_shared<const DeploymentDocument>(versions.back()));
    }
    const auto kept = std::count_if(versions.begin(), versions.end(), [&](const auto &document) {
        return archive.deltaBase(document.version, computeDigest(document)) != 0;
    });
    cr_assert(kept >= 3 && kept <= 6, "%ld", static_cast<long>(kept));
}

// Guards against teams or public routes that are lost on the way to an entry host, and against a
// removed key that stays in force there.
Test(documentDelta, teamsAndPublicRoutesAreTransferred)
{
    RandomSource random{8};
    auto base = documentOf(1, 5, random);
    base.teams = {Team{"lab", {"k1", "k2"}, 0, 10, 5}, Team{"design", {"k3"}, 2, 0, 0}};
    base.routes[3].isPublic = true;
    auto next = base;
    next.version = 2;
    next.teams[0].keys = {"k2"};
    next.teams.push_back(Team{"jobs", {"k4"}, 1, 7, 7});
    next.routes[3].isPublic = false;
    next.routes[0].isPublic = true;
    const auto transfer = [](const DeploymentDocument *held, const DeploymentDocument &document) {
        const auto answer = compressDelta(computeDelta(held, document));
        return applyDelta(held, decompressDelta(answer).value()).value();
    };
    cr_assert(transfer(nullptr, base) == base);
    cr_assert(transfer(&base, next) == next);
    cr_assert_eq(computeDelta(&base, next).teams.at(1).count, 1U, "an unchanged team is not sent");
    auto withoutTeams = next;
    withoutTeams.version = 3;
    withoutTeams.teams.clear();
    withoutTeams.routes[0].isPublic = false;
    cr_assert(transfer(&next, withoutTeams) == withoutTeams);
    auto wrong = computeDelta(&base, next);
    wrong.publicRoutes = {5};
    cr_assert(applyDelta(&base, wrong).has_error());
}

// Guards against a document without teams that versions without teams cannot read.
Test(documentDelta, withoutTeamsTheEarlierMessageIsSent)
{
    RandomSource random{9};
    const auto document = documentOf(1, 5, random);
    const auto delta = computeDelta(nullptr, document);
    const auto answer = compressDelta(delta);
    const TeamlessDocumentDelta earlier{delta.baseVersion,      delta.baseDigest, delta.version,
                                        delta.digest,           delta.routes,     delta.services,
                                        delta.transactionIdleUs};
    cr_assert_eq(answer.bytes, encode(earlier).size());
    cr_assert(decompressDelta(answer).value() == delta);
}
