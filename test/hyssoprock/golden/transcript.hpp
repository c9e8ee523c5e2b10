#pragma once

#include <string>
#include <string_view>

#include <hyssoprock/request/session_events.hpp>
#include <hyssoprock/session/token_codec.hpp>

/// @file
/// @brief Formatting of times, events and actions in the golden files.

namespace hyssoprock::golden {

/// @brief Time in milliseconds; the fraction is omitted if it is zero.
[[nodiscard]] std::string textOf(Instant time);
/// @brief Position as term/index.
[[nodiscard]] std::string textOf(const LogPosition &position);
/// @brief Role, position and majority index of an endpoint.
[[nodiscard]] std::string textOf(const EndpointReport &report);
/// @brief Floor as a list of groups and positions.
[[nodiscard]] std::string textOf(const SessionFloor &floor);
/// @brief Results with their rows, followed by the error.
[[nodiscard]] std::string textOf(const std::vector<StatementResult> &results,
                                 const std::optional<SqlError> &error);
[[nodiscard]] std::string_view textOf(TransactionState status);
/// @brief Action; a token is shown as its decoded floor, as its signature depends on the key.
[[nodiscard]] std::string textOf(const SessionAction &action, const TokenCodec &tokens);

/// @brief Lines of one transcript.
class Transcript
{
public:
    /// @brief Begins the transcript with a title.
    explicit Transcript(std::string_view title);
    /// @brief Appends an event.
    void event(Instant time, std::string_view who, std::string_view text);
    /// @brief Appends an action that resulted from the preceding event.
    void action(std::string_view text);
    [[nodiscard]] const std::string &text() const noexcept { return text_; }

private:
    std::string text_;
};

} // namespace hyssoprock::golden
