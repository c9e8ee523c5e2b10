#include <hyssoprock/transport/pg_result_reader.hpp>

#include <string>

#include <libpq-fe.h>

namespace hyssoprock::internal {

namespace {

std::string errorField(const PGresult &result, int code)
{
    const char *text = PQresultErrorField(&result, code);
    return text == nullptr ? std::string{} : std::string{text};
}

} // namespace

std::vector<PgColumn> parseColumns(const PGresult &result)
{
    std::vector<PgColumn> columns;
    const int count = PQnfields(&result);
    columns.reserve(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i) {
        columns.push_back(
            PgColumn{PQfname(&result, i), PQftable(&result, i),
                     static_cast<std::int16_t>(PQftablecol(&result, i)), PQftype(&result, i),
                     static_cast<std::int16_t>(PQfsize(&result, i)), PQfmod(&result, i)});
    }
    return columns;
}

std::vector<std::vector<PgValue>> parseRows(const PGresult &result, std::size_t &bytes)
{
    std::vector<std::vector<PgValue>> rows(static_cast<std::size_t>(PQntuples(&result)));
    const int width = PQnfields(&result);
    for (int row = 0; row < PQntuples(&result); ++row) {
        auto &values = rows[static_cast<std::size_t>(row)];
        values.reserve(static_cast<std::size_t>(width));
        for (int column = 0; column < width; ++column) {
            if (PQgetisnull(&result, row, column) != 0) {
                values.emplace_back(std::nullopt);
            } else {
                const auto length = static_cast<std::size_t>(PQgetlength(&result, row, column));
                values.emplace_back(std::string{PQgetvalue(&result, row, column), length});
                bytes += length;
            }
        }
    }
    return rows;
}

PgStatementError parseError(const PGresult &result)
{
    return {errorField(result, PG_DIAG_SEVERITY), errorField(result, PG_DIAG_SQLSTATE),
            errorField(result, PG_DIAG_MESSAGE_PRIMARY),
            errorField(result, PG_DIAG_MESSAGE_DETAIL)};
}

} // namespace hyssoprock::internal
