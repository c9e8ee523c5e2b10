#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include <hyssoprock/pooling/statement.hpp>

/// @file
/// @brief Variables and prepared statements of sessions and of pooled connections.

namespace hyssoprock {

/// @brief Statement that a caller has prepared.
struct PreparedStatement
{
    std::string shape;   ///< Shape, as named by the caller.
    bool writes = false; ///< Whether it writes.

    // clang-tidy 14 takes the 0 in a rewritten comparison for a null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    [[nodiscard]] auto operator<=>(const PreparedStatement &) const = default;
};

/// @brief Variables and prepared statements that a session's caller was told are set.
struct SessionValues
{
    std::map<std::string, std::string> variables;      ///< By name.
    std::map<std::string, PreparedStatement> prepared; ///< By the name that the caller chose.

    [[nodiscard]] bool operator==(const SessionValues &) const = default;
};

/// @brief Assigns host-wide names to prepared statements.
///
/// Callers choose colliding names for different shapes. A name assigned by kind and shape lets a
/// connection keep its prepared statements while it serves different sessions.
class PreparedNames
{
public:
    /// @brief Name of a prepared statement on connections to endpoints; the same for equal
    /// statements.
    [[nodiscard]] const std::string &nameOf(const PreparedStatement &statement);

private:
    std::map<PreparedStatement, std::string> names_;
    std::size_t bytes_ = 0;      ///< Of all shapes in names_.
    std::uint64_t lastName_ = 0; ///< Names are not used again, as connections may still hold them.
};

/// @brief Variables and prepared statements set on one connection to an endpoint.
class ConnectionValues
{
public:
    /// @brief Change that a connection needs to serve a session.
    enum class Match : std::uint8_t {
        Reset, ///< The connection holds variables that the session does not have.
        Set,   ///< Variables of the session are missing or have other values.
        Equal, ///< The variables are the same.
    };

    /// @brief Compares the variables with those of a session.
    [[nodiscard]] Match match(const SessionValues &values) const;

    /// @brief Applies a session's variables and prepares one statement.
    ///
    /// The values are taken as applied; call invalidate() if the endpoint refuses a command.
    /// @param values Values of the session.
    /// @param name Name of the prepared statement on the connection; empty for none.
    /// @param statement Statement to prepare under the name.
    /// @param commands Receives the commands that must succeed before the session's statement is
    /// sent, in order.
    void prepareFor(const SessionValues &values, const std::string &name,
                    const PreparedStatement &statement, std::vector<EndpointCommand> &commands);

    /// @brief Removes a prepared statement that the endpoint does not know.
    /// @param name Name on the connection.
    void forget(const std::string &name) { prepared_.erase(name); }

    /// @brief Records that a command of prepareFor() failed. The values are unknown until a later
    /// reset succeeds.
    void invalidate() noexcept { valid_ = false; }

    /// @brief Whether the values are known.
    [[nodiscard]] bool valid() const noexcept { return valid_; }

private:
    std::map<std::string, std::string> variables_;
    std::set<std::string> prepared_;
    bool valid_ = true; ///< The other members are what the endpoint holds.
};

} // namespace hyssoprock
