#include <hyssoprock/daemon/shared/endpoint_report_reader.hpp>

#include <charconv>

namespace hyssoprock {

namespace {

std::uint64_t parseParameter(const PgConnection &connection, const char *name)
{
    std::uint64_t number = 0;
    if (const auto text = connection.parameter(name)) {
        const auto *last = text->data() + text->size();
        const auto [end, error] = std::from_chars(text->data(), last, number);
        if (error != std::errc{} || end != last) {
            return 0;
        }
    }
    return number;
}

} // namespace

EndpointReport readEndpointReport(const PgConnection &connection)
{
    EndpointReport report;
    report.position = {parseParameter(connection, "hyssoprock.term"),
                       parseParameter(connection, "hyssoprock.index")};
    report.majorityIndex = parseParameter(connection, "hyssoprock.majority_index");
    report.role = parseEndpointRole(connection.parameter("hyssoprock.role").value_or(""));
    return report;
}

} // namespace hyssoprock
