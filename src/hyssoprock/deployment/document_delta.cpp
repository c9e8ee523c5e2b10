#include <hyssoprock/deployment/document_delta.hpp>

#include <memory>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include <boost/outcome/try.hpp>
#include <xxhash.h>
#include <zlib.h>

#include <hyssoprock/core/invariant.hpp>
#include <hyssoprock/message/codec.hpp>

namespace hyssoprock {

namespace {

// Largest accepted size of an encoded delta. An operator's document has at most 4 MiB, and its
// encoding is not larger, since JSON needs more bytes for field names than the encoding needs for
// the fields. A delta of 64 MiB would need several hundred MB while it is decoded.
constexpr std::uint64_t deltaBytesMax = std::uint64_t{8} * 1024 * 1024;
// Maximum memory of the routes or of the services that a delta produces. The largest document needs
// about half of it. Without a limit, parts that refer to the base repeatedly would multiply its
// size.
constexpr std::size_t itemBytesMax = std::size_t{32} * 1024 * 1024;
// Longest duration, about 31 years, as in an operator's document. Keeps sums of deadlines within
// the range of Duration.
constexpr std::int64_t microsecondsMax = 1'000'000'000'000'000;
// Takes half the time of the default level for a few percent more bytes.
constexpr int compressionLevel = 3;

class Digest
{
public:
    void add(std::uint64_t number) { update(&number, sizeof number); }
    void add(const std::string &text)
    {
        add(text.size());
        update(text.data(), text.size());
    }
    void add(Duration duration) { add(static_cast<std::uint64_t>(duration.count())); }
    void add(const Route &route)
    {
        add(route.name);
        add(route.database);
        add(route.pathPrefix);
        add(route.service);
        add(static_cast<std::uint64_t>(route.readConsistency));
        add(route.statementTimeout);
        add(route.targetLatency);
        add(route.staleness);
        add(route.priority);
        add(route.attempts);
    }
    void add(const Service &service)
    {
        add(service.name);
        add(service.connectionsMax);
        add(service.synchronousReplicas);
    }
    void add(const Team &team)
    {
        add(team.name);
        add(team.keys.size());
        for (const auto &key : team.keys) {
            add(key);
        }
        add(team.priority);
        add(team.operationsPerSecond);
        add(team.burst);
    }
    [[nodiscard]] std::uint64_t value() const { return XXH64_digest(state_.get()); }

private:
    struct Free
    {
        void operator()(XXH64_state_t *state) const { XXH64_freeState(state); }
    };

    static std::unique_ptr<XXH64_state_t, Free> makeState()
    {
        std::unique_ptr<XXH64_state_t, Free> state{XXH64_createState()};
        check(state != nullptr && XXH64_reset(state.get(), 0) == XXH_OK,
              "the XXH64 state must be initialised");
        return state;
    }

    void update(const void *bytes, std::size_t size)
    {
        check(XXH64_update(state_.get(), bytes, size) == XXH_OK,
              "the XXH64 state must accept data");
    }

    std::unique_ptr<XXH64_state_t, Free> state_ = makeState();
};

template <class Item>
std::uint64_t itemDigest(const Item &item)
{
    Digest digest;
    digest.add(item);
    return digest.value();
}

RouteRecord toRecord(const Route &route)
{
    return {route.name,
            route.database,
            route.pathPrefix,
            route.service,
            static_cast<std::uint32_t>(route.readConsistency),
            route.statementTimeout.count(),
            route.targetLatency.count(),
            route.staleness.count(),
            route.priority,
            route.attempts};
}

ServiceRecord toRecord(const Service &service)
{
    return {service.name, service.connectionsMax, service.synchronousReplicas};
}

TeamRecord toRecord(const Team &team)
{
    return {team.name, team.keys, team.priority, team.operationsPerSecond, team.burst};
}

bool isDurationInRange(std::int64_t microseconds)
{
    return microseconds >= 0 && microseconds <= microsecondsMax;
}

Result<Route> fromRecord(const RouteRecord &record)
{
    if (record.rule > static_cast<std::uint32_t>(ReadConsistency::ReadOwnWrites)) {
        return failure(ErrorKind::InvalidValue,
                       "route \"" + record.name + "\" has an unknown consistency rule");
    }
    if (!isDurationInRange(record.statementTimeoutUs) || !isDurationInRange(record.targetLatencyUs)
        || !isDurationInRange(record.stalenessUs)) {
        return failure(ErrorKind::InvalidValue,
                       "route \"" + record.name + "\" has a duration out of range");
    }
    return Route{record.name,
                 record.database,
                 record.pathPrefix,
                 record.service,
                 static_cast<ReadConsistency>(record.rule),
                 Duration{record.statementTimeoutUs},
                 Duration{record.targetLatencyUs},
                 Duration{record.stalenessUs},
                 record.priority,
                 record.attempts,
                 false};
}

Result<Service> fromRecord(const ServiceRecord &record)
{
    return Service{record.name, record.connectionsMax, record.synchronousReplicas};
}

Result<Team> fromRecord(const TeamRecord &record)
{
    return Team{record.name, record.keys, record.priority, record.operationsPerSecond,
                record.burst};
}

/// Describes the new list as runs of unchanged items of the base, with added items in between, in
/// the new order. The order matters because the first of two equally good routes is used.
template <class Part, class Item>
std::vector<Part> buildParts(const std::vector<Item> *base, const std::vector<Item> &items)
{
    std::unordered_map<std::uint64_t, std::uint32_t> known;
    for (std::size_t i = 0; base != nullptr && i < base->size(); ++i) {
        known.emplace(itemDigest((*base)[i]), static_cast<std::uint32_t>(i));
    }
    std::vector<Part> parts;
    for (const auto &item : items) {
        const auto found = known.find(itemDigest(item));
        if (found == known.end() || !((*base)[found->second] == item)) {
            if (parts.empty()) {
                parts.emplace_back();
            }
            parts.back().added.push_back(toRecord(item));
        } else if (!parts.empty() && parts.back().added.empty()
                   && parts.back().first + parts.back().count == found->second) {
            ++parts.back().count;
        } else {
            parts.push_back(Part{found->second, 1, {}});
        }
    }
    return parts;
}

std::size_t memoryBytes(const Route &route)
{
    return sizeof route + route.name.size() + route.database.size() + route.pathPrefix.size()
           + route.service.size();
}

std::size_t memoryBytes(const Service &service)
{
    return sizeof service + service.name.size();
}

std::size_t memoryBytes(const Team &team)
{
    auto bytes = sizeof team + team.name.size();
    for (const auto &key : team.keys) {
        bytes += sizeof(std::string) + key.size();
    }
    return bytes;
}

template <class Item, class Part>
Result<std::vector<Item>> applyParts(const std::vector<Item> *base, const std::vector<Part> &parts)
{
    std::vector<Item> items;
    std::size_t bytes = 0;
    const auto fits = [&bytes](const Item &item) {
        bytes += memoryBytes(item);
        return bytes <= itemBytesMax;
    };
    const auto size = base == nullptr ? std::size_t{0} : base->size();
    for (const auto &part : parts) {
        if (part.first > size || part.count > size - part.first) {
            return failure(ErrorKind::InvalidValue,
                           "the delta refers to items that the base does not contain");
        }
        for (std::size_t i = 0; i < part.count; ++i) {
            const auto &item = (*base)[part.first + i];
            if (!fits(item)) {
                return failure(ErrorKind::InvalidValue, "the delta produces too large a document");
            }
            items.push_back(item);
        }
        for (const auto &record : part.added) {
            BOOST_OUTCOME_TRY(auto item, fromRecord(record));
            if (!fits(item)) {
                return failure(ErrorKind::InvalidValue, "the delta produces too large a document");
            }
            items.push_back(std::move(item));
        }
    }
    return items;
}

std::vector<std::uint32_t> publicRoutesOf(const DeploymentDocument &document)
{
    std::vector<std::uint32_t> indices;
    for (std::size_t i = 0; i < document.routes.size(); ++i) {
        if (document.routes[i].isPublic) {
            indices.push_back(static_cast<std::uint32_t>(i));
        }
    }
    return indices;
}

Result<void> markPublicRoutes(std::vector<Route> &routes, const std::vector<std::uint32_t> &indices)
{
    for (auto &route : routes) {
        route.isPublic = false;
    }
    for (const auto index : indices) {
        if (index >= routes.size()) {
            return failure(ErrorKind::InvalidValue,
                           "the delta names a public route that does not exist");
        }
        routes[index].isPublic = true;
    }
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

std::string encodeDelta(const DocumentDelta &delta)
{
    if (!delta.teams.empty() || !delta.publicRoutes.empty()) {
        return encode(delta);
    }
    return encode(TeamlessDocumentDelta{delta.baseVersion, delta.baseDigest, delta.version,
                                        delta.digest, delta.routes, delta.services,
                                        delta.transactionIdleUs});
}

} // namespace

std::uint64_t computeDigest(const DeploymentDocument &document)
{
    Digest digest;
    digest.add(document.version);
    digest.add(document.transactionIdleTimeout);
    digest.add(document.routes.size());
    for (const auto &route : document.routes) {
        digest.add(route);
    }
    for (const auto &service : document.services) {
        digest.add(service);
    }
    // Without teams and public routes the digest is that of versions that know neither.
    for (const auto &team : document.teams) {
        digest.add(team);
    }
    for (const auto index : publicRoutesOf(document)) {
        digest.add(index);
    }
    return digest.value();
}

DocumentDelta computeDelta(const DeploymentDocument *base, const DeploymentDocument &document)
{
    DocumentDelta delta;
    delta.baseVersion = base == nullptr ? 0 : base->version;
    delta.baseDigest = base == nullptr ? 0 : computeDigest(*base);
    delta.version = document.version;
    delta.digest = computeDigest(document);
    delta.routes =
        buildParts<RoutePart>(base == nullptr ? nullptr : &base->routes, document.routes);
    delta.services =
        buildParts<ServicePart>(base == nullptr ? nullptr : &base->services, document.services);
    delta.transactionIdleUs = document.transactionIdleTimeout.count();
    delta.teams = buildParts<TeamPart>(base == nullptr ? nullptr : &base->teams, document.teams);
    delta.publicRoutes = publicRoutesOf(document);
    return delta;
}

Result<DeploymentDocument> applyDelta(const DeploymentDocument *base, const DocumentDelta &delta)
{
    const auto *used = delta.baseVersion == 0 ? nullptr : base;
    if (delta.baseVersion != 0
        && (base == nullptr || base->version != delta.baseVersion
            || computeDigest(*base) != delta.baseDigest)) {
        return failure(ErrorKind::InvalidValue, "the delta is based on another document of version "
                                                    + std::to_string(delta.baseVersion));
    }
    if (!isDurationInRange(delta.transactionIdleUs)) {
        return failure(ErrorKind::InvalidValue, "the transaction idle timeout is out of range");
    }
    DeploymentDocument document;
    document.version = delta.version;
    document.transactionIdleTimeout = Duration{delta.transactionIdleUs};
    BOOST_OUTCOME_TRY(document.routes,
                      applyParts(used == nullptr ? nullptr : &used->routes, delta.routes));
    BOOST_OUTCOME_TRY(document.services,
                      applyParts(used == nullptr ? nullptr : &used->services, delta.services));
    BOOST_OUTCOME_TRY(document.teams,
                      applyParts(used == nullptr ? nullptr : &used->teams, delta.teams));
    BOOST_OUTCOME_TRYV(markPublicRoutes(document.routes, delta.publicRoutes));
    if (computeDigest(document) != delta.digest) {
        return failure(ErrorKind::ChecksumMismatch,
                       "version " + std::to_string(delta.version)
                           + " does not match the document of the sender");
    }
    BOOST_OUTCOME_TRYV(validate(document));
    return document;
}

DocumentAnswer compressDelta(const DocumentDelta &delta)
{
    const auto bytes = encodeDelta(delta);
    DocumentAnswer answer;
    answer.version = delta.version;
    answer.bytes = bytes.size();
    auto size = compressBound(bytes.size());
    answer.body.resize(size);
    const auto zlibStatus =
        compress2(reinterpret_cast<Bytef *>(answer.body.data()), &size,
                  reinterpret_cast<const Bytef *>(bytes.data()), bytes.size(), compressionLevel);
    check(zlibStatus == Z_OK, "the delta must be compressible");
    answer.body.resize(size);
    answer.body.shrink_to_fit();
    return answer;
}

Result<DocumentDelta> decompressDelta(const DocumentAnswer &answer)
{
    // A damaged size must not allocate much memory. The compression ratio of deflate is at most
    // 1,032.
    constexpr std::uint64_t compressionRatioMax = 1032;
    if (answer.bytes > deltaBytesMax
        || answer.bytes > (answer.body.size() + 1) * compressionRatioMax) {
        return failure(ErrorKind::ProtocolViolation, "the delta is too large");
    }
    std::string bytes(answer.bytes, '\0');
    uLongf size = bytes.size();
    const auto zlibStatus =
        uncompress(reinterpret_cast<Bytef *>(bytes.data()), &size,
                   reinterpret_cast<const Bytef *>(answer.body.data()), answer.body.size());
    if (zlibStatus != Z_OK || size != answer.bytes) {
        return failure(ErrorKind::ProtocolViolation, "the delta cannot be decompressed");
    }
    if (auto teamless = decode<TeamlessDocumentDelta>(bytes); !teamless.has_error()) {
        auto &known = teamless.value();
        return DocumentDelta{known.baseVersion,
                             known.baseDigest,
                             known.version,
                             known.digest,
                             std::move(known.routes),
                             std::move(known.services),
                             known.transactionIdleUs,
                             {},
                             {}};
    }
    return decode<DocumentDelta>(bytes);
}

} // namespace hyssoprock
