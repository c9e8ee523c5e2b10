#include <hyssoprock/endpoint/administration.hpp>

#include <array>
#include <charconv>
#include <string_view>
#include <utility>

namespace hyssoprock::endpoint {

namespace {

using Arguments = std::vector<Value>;

/// Longest duration of an injected fault: one hour.
constexpr std::uint64_t faultDurationMsMax = 3600000;

struct Function
{
    std::string_view name;
    std::size_t argumentCountMin;
    std::size_t argumentCountMax;
    Result<std::vector<Value>> (*run)(Instance &, const Arguments &, Instant);
    std::vector<std::string> columns;
};

Result<std::uint64_t> parseNumber(const Value &value)
{
    std::uint64_t number = 0;
    const std::string_view text = value ? std::string_view{*value} : std::string_view{};
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (text.empty() || error != std::errc{} || end != text.data() + text.size()) {
        return failure(ErrorKind::InvalidValue, "a number is expected");
    }
    return number;
}

std::string valueOrEmpty(const Value &value)
{
    return value.value_or(std::string{});
}

Result<std::vector<Value>> positionRow(const Result<LogPosition> &position)
{
    if (position.has_error()) {
        return position.as_failure();
    }
    return std::vector<Value>{std::to_string(position.value().term),
                              std::to_string(position.value().index)};
}

Result<std::vector<Value>> statusRow(Instance &instance, const Arguments & /*arguments*/,
                                     Instant /*now*/)
{
    const auto &replication = instance.database.replication();
    const auto last = replication.log().last();
    return std::vector<Value>{
        instance.name,
        std::to_string(instance.incarnation),
        std::string{toString(replication.role())},
        std::to_string(replication.term()),
        std::to_string(last.term),
        std::to_string(last.index),
        std::to_string(replication.majorityIndex()),
        std::to_string(replication.fencedTerm()),
        replication.primary(),
        std::to_string(instance.counters.inFlight),
        std::to_string(instance.counters.connections),
        formatVoters(replication.voters()),
    };
}

Result<std::vector<Value>> fence(Instance &instance, const Arguments &arguments, Instant /*now*/)
{
    const auto term = parseNumber(arguments[0]);
    if (term.has_error()) {
        return term.as_failure();
    }
    return positionRow(instance.database.fence(term.value()));
}

Result<std::vector<Value>> promote(Instance &instance, const Arguments &arguments, Instant /*now*/)
{
    const auto term = parseNumber(arguments[0]);
    auto voters = parseVoters(valueOrEmpty(arguments[1]));
    if (term.has_error()) {
        return term.as_failure();
    }
    if (voters.has_error()) {
        return voters.as_failure();
    }
    return positionRow(instance.database.promote(term.value(), std::move(voters.value())));
}

Result<std::vector<Value>> follow(Instance &instance, const Arguments &arguments, Instant /*now*/)
{
    const auto term = parseNumber(arguments[0]);
    if (term.has_error()) {
        return term.as_failure();
    }
    return positionRow(instance.database.follow(term.value(), valueOrEmpty(arguments[1]),
                                                valueOrEmpty(arguments[2])));
}

Result<std::vector<Value>> voters(Instance &instance, const Arguments &arguments, Instant /*now*/)
{
    const auto term = parseNumber(arguments[0]);
    auto parsed = parseVoters(valueOrEmpty(arguments[1]));
    if (term.has_error()) {
        return term.as_failure();
    }
    if (parsed.has_error()) {
        return parsed.as_failure();
    }
    const auto version =
        arguments.size() > 2 ? parseNumber(arguments[2]) : Result<std::uint64_t>{0U};
    if (version.has_error()) {
        return version.as_failure();
    }
    return positionRow(
        instance.database.changeVoters(term.value(), std::move(parsed.value()), version.value()));
}

Result<std::vector<Value>> injectFault(Instance &instance, const Arguments &arguments, Instant now)
{
    std::uint64_t milliseconds = 0;
    if (arguments.size() > 1) {
        const auto number = parseNumber(arguments[1]);
        if (number.has_error() || number.value() > faultDurationMsMax) {
            return failure(ErrorKind::InvalidValue, "the time must be 0 to 3600000 ms");
        }
        milliseconds = number.value();
    }
    const Duration duration = std::chrono::milliseconds{milliseconds};
    const auto kind = valueOrEmpty(arguments[0]);
    auto &faults = instance.faults;
    if (kind == "stall") {
        faults.stalledUntil = now + duration;
    } else if (kind == "cut_off") {
        faults.cutOffUntil = now + duration;
    } else if (kind == "late_answer") {
        faults.answerDelay = duration;
    } else if (kind == "lag") {
        instance.database.setLag(duration);
    } else if (kind == "receive_lag") {
        faults.receiveDelay = duration;
    } else if (kind == "crash") {
        faults.crash = true;
    } else {
        return failure(ErrorKind::InvalidValue, "no fault \"" + kind + "\"");
    }
    return std::vector<Value>{kind};
}

const std::array<Function, 6> &functions()
{
    static const std::array<Function, 6> table{{
        {"hyssoprock_status",
         0,
         0,
         &statusRow,
         {"name", "incarnation", "role", "term", "last_term", "last_index", "majority_index",
          "fenced_term", "primary", "in_flight", "connections", "voters"}},
        {"hyssoprock_fence", 1, 1, &fence, {"last_term", "last_index"}},
        {"hyssoprock_promote", 2, 2, &promote, {"last_term", "last_index"}},
        {"hyssoprock_follow", 3, 3, &follow, {"last_term", "last_index"}},
        {"hyssoprock_voters", 2, 3, &voters, {"last_term", "last_index"}},
        {"hyssoprock_fault", 1, 2, &injectFault, {"fault"}},
    }};
    return table;
}

const Function *findFunction(const std::string &name)
{
    for (const auto &function : functions()) {
        if (function.name == name) {
            return &function;
        }
    }
    return nullptr;
}

} // namespace

std::optional<std::vector<std::string>> administrativeColumns(const std::string &function)
{
    const auto *found = findFunction(function);
    return found == nullptr ? std::nullopt : std::optional{found->columns};
}

Result<AdministrativeRow> callAdministrative(Instance &instance, const std::string &function,
                                             const std::vector<Value> &arguments, Instant now)
{
    const auto *found = findFunction(function);
    if (found == nullptr) {
        return failure(ErrorKind::NotSupported, "no function \"" + function + "\"");
    }
    if (arguments.size() < found->argumentCountMin || arguments.size() > found->argumentCountMax) {
        return failure(ErrorKind::InvalidValue, "wrong number of arguments");
    }
    auto values = found->run(instance, arguments, now);
    if (values.has_error()) {
        return values.as_failure();
    }
    return AdministrativeRow{found->columns, std::move(values.value())};
}

} // namespace hyssoprock::endpoint
