#pragma once

#include <cstdint>

/// @file
/// @brief Forward declarations of the statement module.

namespace hyssoprock {

enum class AnswerKind : std::uint8_t;
enum class StatementKind : std::uint8_t;
enum class StatementOutcome : std::uint8_t;
enum class TransactionState : std::uint8_t;
class CallerDialect;
struct AttributeSetting;
struct CallerStatement;
struct SessionCommand;
struct Statement;
struct StatementProperties;

} // namespace hyssoprock
