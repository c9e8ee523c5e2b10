#include <hyssoprock/daemon/shared/endpoint_sql.hpp>

#include <charconv>
#include <optional>
#include <string_view>

namespace hyssoprock {

namespace {

std::string quotedLiteral(std::string_view text)
{
    std::string quoted = "'";
    for (const char letter : text) {
        quoted += letter;
        if (letter == '\'') {
            quoted += letter;
        }
    }
    return quoted + "'";
}

std::string quotedVoters(const std::vector<VoterAddress> &voters)
{
    std::string text;
    for (const auto &voter : voters) {
        text += (text.empty() ? "" : ",") + voter.endpoint + "=" + voter.address;
    }
    return quotedLiteral(text);
}

std::string call(const char *function, const std::string &arguments)
{
    return std::string{"SELECT hyssoprock_"} + function + "(" + arguments + ")";
}

/// Encodes each call as a statement.
struct SqlOf
{
    std::string operator()(const StatusCall & /*request*/) const { return call("status", ""); }
    std::string operator()(const FenceCall &request) const
    {
        return call("fence", std::to_string(request.term));
    }
    std::string operator()(const PromoteCall &request) const
    {
        return call("promote", std::to_string(request.term) + ", " + quotedVoters(request.voters));
    }
    std::string operator()(const FollowCall &request) const
    {
        return call("follow", std::to_string(request.term) + ", " + quotedLiteral(request.primary)
                                  + ", " + quotedLiteral(request.address));
    }
    std::string operator()(const VotersCall &request) const
    {
        return call("voters", std::to_string(request.term) + ", " + quotedVoters(request.voters)
                                  + ", " + std::to_string(request.version));
    }
};

/// Single row of an answer, accessed by column name.
class Row
{
public:
    explicit Row(const PgStatementResult &statement) noexcept
        : statement_{statement}
    {}

    [[nodiscard]] std::string text(std::string_view column)
    {
        for (std::size_t i = 0; i < statement_.columns.size(); ++i) {
            if (statement_.columns[i].name == column) {
                return statement_.rows[0][i].value_or("");
            }
        }
        setError(column, "is missing");
        return {};
    }

    template <class Number>
    [[nodiscard]] Number number(std::string_view column)
    {
        const auto value = text(column);
        Number parsed = 0;
        const auto *last = value.data() + value.size();
        const auto [end, error] = std::from_chars(value.data(), last, parsed);
        if (error != std::errc{} || end != last) {
            setError(column, "is not a number");
        }
        return parsed;
    }

    [[nodiscard]] const std::optional<std::string> &errorText() const noexcept { return error_; }

private:
    void setError(std::string_view column, std::string_view what)
    {
        if (!error_) {
            error_ = "column " + std::string{column} + " of the answer " + std::string{what};
        }
    }

    const PgStatementResult &statement_;
    std::optional<std::string> error_{};
};

std::vector<std::string> parseVoterNames(std::string_view text)
{
    std::vector<std::string> names;
    while (!text.empty()) {
        const auto item = text.substr(0, text.find(','));
        names.emplace_back(item.substr(0, item.find('=')));
        text.remove_prefix(item.size() < text.size() ? item.size() + 1 : item.size());
    }
    return names;
}

EndpointCallResponse parseStatus(Row &row)
{
    EndpointCallResponse report;
    report.name = row.text("name");
    report.incarnation = row.number<std::uint64_t>("incarnation");
    report.role = row.text("role");
    report.term = row.number<std::uint64_t>("term");
    report.position = {row.number<std::uint64_t>("last_term"),
                       row.number<std::uint64_t>("last_index")};
    report.majorityIndex = row.number<std::uint64_t>("majority_index");
    report.fencedTerm = row.number<std::uint64_t>("fenced_term");
    report.primary = row.text("primary");
    report.inFlight = row.number<std::uint32_t>("in_flight");
    report.connections = row.number<std::uint32_t>("connections");
    report.voters = parseVoterNames(row.text("voters"));
    return report;
}

} // namespace

std::string toSql(const EndpointRequest &request)
{
    return std::visit(SqlOf{}, request);
}

Result<EndpointCallResponse> parseAnswer(const EndpointRequest &request, const PgAnswer &answer)
{
    if (answer.statements.size() != 1) {
        return failure(ErrorKind::ProtocolViolation, "one statement was sent, "
                                                         + std::to_string(answer.statements.size())
                                                         + " were answered");
    }
    const auto &statement = answer.statements[0];
    if (statement.error) {
        return failure(ErrorKind::Refused, statement.error->state + " " + statement.error->message);
    }
    const bool status = std::holds_alternative<StatusCall>(request);
    const bool fence = std::holds_alternative<FenceCall>(request);
    if (!status && !fence) {
        return EndpointCallResponse{};
    }
    if (statement.rows.size() != 1) {
        return failure(ErrorKind::ProtocolViolation, "the answer has no row");
    }
    Row row{statement};
    EndpointCallResponse report;
    if (status) {
        report = parseStatus(row);
    } else {
        report.position = {row.number<std::uint64_t>("last_term"),
                           row.number<std::uint64_t>("last_index")};
    }
    if (row.errorText()) {
        return failure(ErrorKind::ProtocolViolation, *row.errorText());
    }
    return report;
}

} // namespace hyssoprock
