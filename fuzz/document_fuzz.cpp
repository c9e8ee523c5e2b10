// Reads arbitrary bytes as a deployment document; what is accepted must be valid.

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
    const auto read = platform::parseDocument(bytes);
    if (read.has_error()) {
        check(read.error().kind == ErrorKind::InvalidValue, "a refusal has one kind");
        check(!read.error().detail.empty(), "a refusal says what is wrong");
        return 0;
    }
    const auto &document = read.value();
    constexpr Duration longest = std::chrono::milliseconds{platform::durationMsMax};
    check(validate(document).has_value(), "an accepted document is valid");
    for (const auto &route : document.routes) {
        check(findService(document, route.service) != nullptr, "a route has a service");
        check(findRoute(document, route.database) != nullptr, "a route is found");
        check(route.statementTimeout > Duration::zero() && route.statementTimeout <= longest,
              "a timeout is in its range");
        check(route.staleness >= Duration::zero() && route.staleness <= longest,
              "an allowance is in its range");
    }
    return 0;
}
