// Parses arbitrary bytes as a deployment document; an accepted document must be valid.

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string_view>

#include <hyssoprock/core/invariant.hpp>
#include <platform/json_codec.hpp>

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    using namespace hyssoprock;
    const std::string_view bytes{reinterpret_cast<const char *>(data), size};
    const auto parsed = platform::parseDocument(bytes);
    if (parsed.has_error()) {
        check(parsed.error().kind == ErrorKind::InvalidValue, "an error is an invalid value");
        check(!parsed.error().detail.empty(), "an error has a detail text");
        return 0;
    }
    const auto &document = parsed.value();
    constexpr Duration timeoutMax = std::chrono::milliseconds{platform::durationMsMax};
    check(validate(document).has_value(), "an accepted document is valid");
    for (const auto &route : document.routes) {
        check(findService(document, route.service) != nullptr, "a route has a service");
        check(findRoute(document, route.database) != nullptr, "a route is found");
        check(route.statementTimeout > Duration::zero() && route.statementTimeout <= timeoutMax,
              "a timeout is in its range");
        check(route.staleness >= Duration::zero() && route.staleness <= timeoutMax,
              "a staleness bound is in its range");
    }
    return 0;
}
