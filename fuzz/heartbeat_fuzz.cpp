// Parses arbitrary bytes as the body of a heartbeat; the fields of an accepted record must be
// valid.

#include <cstddef>
#include <cstdint>
#include <string_view>

#include <hyssoprock/core/invariant.hpp>
#include <hyssoprock/settings/address.hpp>
#include <platform/json_codec.hpp>

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    using namespace hyssoprock;
    const std::string_view body{reinterpret_cast<const char *>(data), size};
    const auto record = platform::parseHeartbeat("i-7", body);
    if (record.has_error()) {
        check(record.error().kind == ErrorKind::InvalidValue, "an error is an invalid value");
        check(!record.error().detail.empty(), "an error has a detail text");
        return 0;
    }
    check(record.value().id == "i-7", "the identifier comes from the path");
    check(!record.value().service.empty(), "an endpoint has a service");
    check(parseAddress(record.value().address).has_value(), "an endpoint has an address");
    check(record.value().warmupMs <= platform::durationMsMax, "a time is bounded");
    return 0;
}
