#include <string>

#include <criterion/criterion.h>

#include <hyssoprock/daemon/entry/answer_writer.hpp>

using namespace hyssoprock;

namespace {

StatementResult rowsOf(std::vector<std::string> values, std::string tag)
{
    StatementResult result;
    result.columns.push_back(ResultColumn{"id"});
    for (auto &value : values) {
        result.rows.push_back({std::move(value)});
    }
    result.tag = std::move(tag);
    return result;
}

/// Type bytes of all encoded messages.
std::string typesOf(const std::string &bytes)
{
    std::string types;
    for (std::size_t at = 0; at + 5 <= bytes.size();) {
        types += bytes[at];
        std::size_t length = 0;
        for (std::size_t i = 1; i <= 4; ++i) {
            length = (length << 8U) | static_cast<unsigned char>(bytes[at + i]);
        }
        at += 1 + length;
    }
    return types;
}

} // namespace

// Guards against an answer without columns, command tag or ReadyForQuery, for which the caller
// would wait forever.
Test(answerWriter, aWholeAnswerIsComplete)
{
    AnswerWriter writer;
    AnswerCaller answer;
    answer.results = {rowsOf({"1", "2"}, "SELECT 2"), rowsOf({}, "SELECT 0")};
    writer.writeAnswer(answer);
    cr_assert(typesOf(writer.take()) == "TDDCTCZ");
}

// Guards against repeated columns or a missing command tag when an answer that exceeds the buffer
// limit is sent in parts.
Test(answerWriter, partsAndTheEndMakeOneAnswer)
{
    AnswerWriter writer;
    writer.writeRows(ForwardRows{rowsOf({"1"}, ""), 0});
    writer.writeRows(ForwardRows{rowsOf({"2"}, ""), 0});
    AnswerCaller answer;
    answer.results = {rowsOf({"3"}, "SELECT 3")};
    writer.writeAnswer(answer);
    cr_assert(typesOf(writer.take()) == "TDDDCZ");
    writer.writeAnswer(answer);
    cr_assert(typesOf(writer.take()) == "TDCZ", "the writer is reset for the next answer");
}

// Guards against sending the result of a statement again after it was sent in parts.
Test(answerWriter, completedStatementsAreNotRepeated)
{
    AnswerWriter writer;
    writer.writeRows(ForwardRows{rowsOf({"1"}, "SELECT 1"), 0});
    writer.writeRows(ForwardRows{rowsOf({"2"}, ""), 1});
    AnswerCaller answer;
    answer.results = {rowsOf({}, "SELECT 1"), rowsOf({"3"}, "SELECT 2")};
    writer.writeAnswer(answer);
    cr_assert(typesOf(writer.take()) == "TDCTDDCZ");
}

// Guards against a command tag after an error and against a missing ReadyForQuery.
Test(answerWriter, anErrorEndsTheAnswer)
{
    AnswerWriter writer;
    AnswerCaller answer;
    answer.results = {rowsOf({"1"}, "SELECT 1")};
    answer.error = SqlError{"08007", "outcome unknown", ErrorKind::OutcomeUnknown};
    answer.status = TransactionState::Failed;
    writer.writeAnswer(answer);
    const auto bytes = writer.take();
    cr_assert(typesOf(bytes) == "TDCEZ");
    cr_assert(bytes.back() == 'E', "the transaction has failed");
}
