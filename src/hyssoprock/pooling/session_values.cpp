#include <hyssoprock/pooling/session_values.hpp>

#include <algorithm>

namespace hyssoprock {

namespace {

// Bounds the memory of one connection at the endpoint when callers keep preparing new shapes.
constexpr std::size_t preparedCountMax = 256;

// Bounds the table when callers keep preparing new shapes. Forgetting all names costs each
// connection one more preparation of the shapes in use.
constexpr std::size_t namesMax = 4096;
constexpr std::size_t shapeBytesMax = std::size_t{2} * 1024 * 1024;

EndpointCommand command(EndpointCommandKind kind)
{
    EndpointCommand result;
    result.kind = kind;
    return result;
}

} // namespace

const std::string &PreparedNames::nameOf(const PreparedStatement &statement)
{
    if (const auto found = names_.find(statement); found != names_.end()) {
        return found->second;
    }
    if (names_.size() >= namesMax || bytes_ >= shapeBytesMax) {
        names_.clear();
        bytes_ = 0;
    }
    bytes_ += statement.shape.size();
    auto &name = names_[statement];
    name = "p" + std::to_string(++lastName_);
    return name;
}

ConnectionValues::Match ConnectionValues::match(const SessionValues &values) const
{
    if (!valid_) {
        return Match::Reset;
    }
    if (variables_ == values.variables) {
        return Match::Equal;
    }
    const auto included =
        std::all_of(variables_.begin(), variables_.end(), [&](const auto &variable) {
            return values.variables.contains(variable.first);
        });
    return included ? Match::Set : Match::Reset;
}

void ConnectionValues::prepareFor(const SessionValues &values, const std::string &name,
                                  const PreparedStatement &statement,
                                  std::vector<EndpointCommand> &commands)
{
    const auto found = match(values);
    if (found == Match::Reset || prepared_.size() > preparedCountMax) {
        // Reset is the only way to unset a variable.
        commands.push_back(command(EndpointCommandKind::Reset));
        variables_.clear();
        prepared_.clear();
        valid_ = true;
    }
    if (variables_ != values.variables) {
        for (const auto &[variable, value] : values.variables) {
            const auto known = variables_.find(variable);
            if (known != variables_.end() && known->second == value) {
                continue;
            }
            auto set = command(EndpointCommandKind::SetVariable);
            set.name = variable;
            set.argument = value;
            commands.push_back(std::move(set));
        }
        variables_ = values.variables;
    }
    if (!name.empty() && prepared_.insert(name).second) {
        auto prepare = command(EndpointCommandKind::Prepare);
        prepare.name = name;
        prepare.shape = statement.shape;
        prepare.writes = statement.writes;
        commands.push_back(std::move(prepare));
    }
}

} // namespace hyssoprock
