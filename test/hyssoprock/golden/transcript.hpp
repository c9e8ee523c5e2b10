#pragma once

#include <string>
#include <string_view>

#include <hyssoprock/request/session_events.hpp>
#include <hyssoprock/session/token_codec.hpp>

/// @file
/// @brief Text of times, events and actions in the golden files.

namespace hyssoprock::golden {

/// @brief Time in milliseconds, with a fraction only if there is one.
[[nodiscard]] std::string textOf(Instant time);
/// @brief A position as term/index.
[[nodiscard]] std::string textOf(const LogPosition &position);
/// @brief What an endpoint says of itself.
[[nodiscard]] std::string textOf(const EndpointReport &report);
/// @brief A floor as a list of group and position.
[[nodiscard]] std::string textOf(const SessionFloor &floor);
/// @brief Results with their rows, and the error after them.
[[nodiscard]] std::string textOf(const std::vector<StatementResult> &results,
                                 const std::optional<SqlError> &error);
[[nodiscard]] std::string_view textOf(TransactionState status);
/// @brief An action; a token is shown as its floor, since its signature depends on the key.
[[nodiscard]] std::string textOf(const SessionAction &action, const TokenCodec &tokens);

/// @brief Lines of one transcript.
class Transcript
{
public:
    /// @brief Starts with a title.
    explicit Transcript(std::string_view title);
    /// @brief Adds an event, with its time.
    void event(Instant time, std::string_view who, std::string_view text);
    /// @brief Adds what followed from the event before.
    void action(std::string_view text);
    [[nodiscard]] const std::string &text() const noexcept { return text_; }

private:
    std::string text_;
};

} // namespace hyssoprock::golden
