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

// Largest difference that is accepted. An operator's document has at most 4 MiB, and its encoding
// is not larger: JSON takes more bytes for the names of fields than the encoding for the fields. A
// difference of 64 MiB would take several hundred MB while it is decoded.
constexpr std::uint64_t deltaBytesMax = std::uint64_t{8} * 1024 * 1024;
// Most memory of the routes or of the services that a difference makes. The largest document takes
// about half of it. Without a bound, parts that name the base again and again multiply it.
constexpr std::size_t itemBytesMax = std::size_t{32} * 1024 * 1024;
// Longest time, about 31 years as in an operator's document. Keeps the sums of deadlines within the
// range of Duration.
constexpr std::int64_t microsecondsMax = 1'000'000'000'000'000;
// Half the time of the default level at a few percent more bytes.
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
    [[nodiscard]] std::uint64_t value() const { return XXH64_digest(state_.get()); }

private:
    struct Free
    {
        void operator()(XXH64_state_t *state) const { XXH64_freeState(state); }
    };

    static std::unique_ptr<XXH64_state_t, Free> makeState()
    {
        std::unique_ptr<XXH64_state_t, Free> state{XXH64_createState()};
        check(state != nullptr && XXH64_reset(state.get(), 0) == XXH_OK, "a digest can be started");
        return state;
    }

    void update(const void *bytes, std::size_t size)
    {
        check(XXH64_update(state_.get(), bytes, size) == XXH_OK, "a digest can be continued");
    }

    std::unique_ptr<XXH64_state_t, Free> state_ = makeState();
};

template <class Item>
std::uint64_t digestOfItem(const Item &item)
{
    Digest digest;
    digest.add(item);
    return digest.value();
}

RouteRecord recordOf(const Route &route)
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

ServiceRecord recordOf(const Service &service)
{
    return {service.name, service.connectionsMax, service.synchronousReplicas};
}

bool isBounded(std::int64_t microseconds)
{
    return microseconds >= 0 && microseconds <= microsecondsMax;
}

Result<Route> itemOf(const RouteRecord &record)
{
    if (record.rule > static_cast<std::uint32_t>(ReadConsistency::ReadOwnWrites)) {
        return failure(ErrorKind::InvalidValue, "route \"" + record.name + "\" has no known rule");
    }
    if (!isBounded(record.statementTimeoutUs) || !isBounded(record.targetLatencyUs)
        || !isBounded(record.stalenessUs)) {
        return failure(ErrorKind::InvalidValue,
                       "route \"" + record.name + "\" has a time out of range");
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
                 record.attempts};
}

Result<Service> itemOf(const ServiceRecord &record)
{
    return Service{record.name, record.connectionsMax, record.synchronousReplicas};
}

/// The new list as runs of unchanged items of the base and items in between, in the new order: of
/// two routes that fit equally well, the first one is used.
template <class Part, class Item>
std::vector<Part> partsOf(const std::vector<Item> *base, const std::vector<Item> &items)
{
    std::unordered_map<std::uint64_t, std::uint32_t> known;
    for (std::size_t i = 0; base != nullptr && i < base->size(); ++i) {
        known.emplace(digestOfItem((*base)[i]), static_cast<std::uint32_t>(i));
    }
    std::vector<Part> parts;
    for (const auto &item : items) {
        const auto found = known.find(digestOfItem(item));
        if (found == known.end() || !((*base)[found->second] == item)) {
            if (parts.empty()) {
                parts.emplace_back();
            }
            parts.back().added.push_back(recordOf(item));
        } else if (!parts.empty() && parts.back().added.empty()
                   && parts.back().first + parts.back().count == found->second) {
            ++parts.back().count;
        } else {
            parts.push_back(Part{found->second, 1, {}});
        }
    }
    return parts;
}

std::size_t memoryOf(const Route &route)
{
    return sizeof route + route.name.size() + route.database.size() + route.pathPrefix.size()
           + route.service.size();
}

std::size_t memoryOf(const Service &service)
{
    return sizeof service + service.name.size();
}

template <class Item, class Part>
Result<std::vector<Item>> itemsOf(const std::vector<Item> *base, const std::vector<Part> &parts)
{
    std::vector<Item> items;
    std::size_t bytes = 0;
    const auto fits = [&bytes](const Item &item) {
        bytes += memoryOf(item);
        return bytes <= itemBytesMax;
    };
    const auto size = base == nullptr ? std::size_t{0} : base->size();
    for (const auto &part : parts) {
        if (part.first > size || part.count > size - part.first) {
            return failure(ErrorKind::InvalidValue, "the difference names items that do not exist");
        }
        for (std::size_t i = 0; i < part.count; ++i) {
            const auto &item = (*base)[part.first + i];
            if (!fits(item)) {
                return failure(ErrorKind::InvalidValue,
                               "the difference makes too large a document");
            }
            items.push_back(item);
        }
        for (const auto &record : part.added) {
            BOOST_OUTCOME_TRY(auto item, itemOf(record));
            if (!fits(item)) {
                return failure(ErrorKind::InvalidValue,
                               "the difference makes too large a document");
            }
            items.push_back(std::move(item));
        }
    }
    return items;
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
    return digest.value();
}

DocumentDelta computeDelta(const DeploymentDocument *base, const DeploymentDocument &document)
{
    DocumentDelta delta;
    delta.baseVersion = base == nullptr ? 0 : base->version;
    delta.baseDigest = base == nullptr ? 0 : computeDigest(*base);
    delta.version = document.version;
    delta.digest = computeDigest(document);
    delta.routes = partsOf<RoutePart>(base == nullptr ? nullptr : &base->routes, document.routes);
    delta.services =
        partsOf<ServicePart>(base == nullptr ? nullptr : &base->services, document.services);
    delta.transactionIdleUs = document.transactionIdleTimeout.count();
    return delta;
}

Result<DeploymentDocument> applyDelta(const DeploymentDocument *base, const DocumentDelta &delta)
{
    const auto *used = delta.baseVersion == 0 ? nullptr : base;
    if (delta.baseVersion != 0
        && (base == nullptr || base->version != delta.baseVersion
            || computeDigest(*base) != delta.baseDigest)) {
        return failure(ErrorKind::InvalidValue,
                       "the difference is from another document of version "
                           + std::to_string(delta.baseVersion));
    }
    if (!isBounded(delta.transactionIdleUs)) {
        return failure(ErrorKind::InvalidValue, "the idle time of transactions is out of range");
    }
    DeploymentDocument document;
    document.version = delta.version;
    document.transactionIdleTimeout = Duration{delta.transactionIdleUs};
    BOOST_OUTCOME_TRY(document.routes,
                      itemsOf(used == nullptr ? nullptr : &used->routes, delta.routes));
    BOOST_OUTCOME_TRY(document.services,
                      itemsOf(used == nullptr ? nullptr : &used->services, delta.services));
    if (computeDigest(document) != delta.digest) {
        return failure(ErrorKind::ChecksumMismatch,
                       "version " + std::to_string(delta.version)
                           + " differs from the document of the sender");
    }
    BOOST_OUTCOME_TRYV(validate(document));
    return document;
}

DocumentAnswer compressDelta(const DocumentDelta &delta)
{
    const auto bytes = encode(delta);
    DocumentAnswer answer;
    answer.version = delta.version;
    answer.bytes = bytes.size();
    auto size = compressBound(bytes.size());
    answer.body.resize(size);
    const auto done =
        compress2(reinterpret_cast<Bytef *>(answer.body.data()), &size,
                  reinterpret_cast<const Bytef *>(bytes.data()), bytes.size(), compressionLevel);
    check(done == Z_OK, "a difference can be compressed");
    answer.body.resize(size);
    answer.body.shrink_to_fit();
    return answer;
}

Result<DocumentDelta> decompressDelta(const DocumentAnswer &answer)
{
    // A damaged size must not allocate much memory: deflate shrinks by at most a factor of 1,032.
    constexpr std::uint64_t ratioMax = 1032;
    if (answer.bytes > deltaBytesMax || answer.bytes > (answer.body.size() + 1) * ratioMax) {
        return failure(ErrorKind::ProtocolViolation, "the difference is too large");
    }
    std::string bytes(answer.bytes, '\0');
    uLongf size = bytes.size();
    const auto done =
        uncompress(reinterpret_cast<Bytef *>(bytes.data()), &size,
                   reinterpret_cast<const Bytef *>(answer.body.data()), answer.body.size());
    if (done != Z_OK || size != answer.bytes) {
        return failure(ErrorKind::ProtocolViolation, "the difference cannot be decompressed");
    }
    return decode<DocumentDelta>(bytes);
}

} // namespace hyssoprock
