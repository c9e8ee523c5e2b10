#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include <hyssoprock/pooling/statement.hpp>

/// @file
/// @brief Variables and prepared statements that follow a session over pooled connections.

namespace hyssoprock {

/// @brief What a caller has prepared under a name.
struct PreparedStatement
{
    std::string shape;   ///< Shape of the statement.
    bool writes = false; ///< Whether it writes.

    // clang-tidy 14 takes the 0 in a rewritten comparison for a null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    [[nodiscard]] auto operator<=>(const PreparedStatement &) const = default;
};

/// @brief Variables and prepared statements of one session, as acknowledged to its caller.
struct SessionValues
{
    std::map<std::string, std::string> variables;      ///< By name.
    std::map<std::string, PreparedStatement> prepared; ///< By the caller's name.

    [[nodiscard]] bool operator==(const SessionValues &) const = default;
};

/// @brief Gives prepared statements names that all sessions of this host share.
///
/// Callers choose colliding names for different shapes; a name derived from kind and shape lets a
/// connection keep its prepared statements while it serves different sessions.
class PreparedNames
{
public:
    /// @brief Name of a prepared statement on connections to endpoints.
    /// @param statement Shape and kind.
    /// @return The same name for equal statements.
    [[nodiscard]] const std::string &nameOf(const PreparedStatement &statement);

private:
    std::map<PreparedStatement, std::string> names_;
};

/// @brief What is set on one connection to an endpoint.
class ConnectionValues
{
public:
    /// @brief How much has to change for a session.
    enum class Match : std::uint8_t {
        Reset, ///< The connection holds variables that the session does not have.
        Set,   ///< Variables of the session are missing or have other values.
        Equal, ///< The variables are the same.
    };

    /// @brief Compares the variables with those of a session.
    /// @param values Values of the session.
    /// @return How much has to change.
    [[nodiscard]] Match match(const SessionValues &values) const;

    /// @brief Brings the connection to a session's variables, and prepares one statement.
    /// @param values Values of the session.
    /// @param name Name of the prepared statement on the connection; empty for none.
    /// @param statement What to prepare under the name.
    /// @param commands Gets the commands to send first, in order.
    void prepareFor(const SessionValues &values, const std::string &name,
                    const PreparedStatement &statement, std::vector<EndpointCommand> &commands);

    /// @brief Notes that the endpoint does not know a prepared statement after all.
    /// @param name Name on the connection.
    void forget(const std::string &name) { prepared_.erase(name); }

private:
    std::map<std::string, std::string> variables_;
    std::set<std::string> prepared_;
};

} // namespace hyssoprock
