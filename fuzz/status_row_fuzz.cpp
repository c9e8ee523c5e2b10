// Parses arbitrary text as the row that an endpoint returns for STATUS.

#include <cstddef>
#include <cstdint>

#include <hyssoprock/core/invariant.hpp>
#include <hyssoprock/core/time.hpp>
#include <platform/status_row.hpp>

#include "pieces.hpp"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    using namespace hyssoprock;
    const auto row = fuzz::inputAfter(data, size, 0);
    const auto status = platform::parseStatusRow(row);
    if (status.has_error()) {
        check(status.error().kind == ErrorKind::ProtocolViolation,
              "an error is a protocol violation");
        return 0;
    }
    check(row.starts_with("primary ") || row.starts_with("replica "), "a row begins with the role");
    check(status.value().lag >= Duration::zero(), "a lag is not negative");
    return 0;
}
