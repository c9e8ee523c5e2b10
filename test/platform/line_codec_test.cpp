#include <string>
#include <utility>
#include <vector>

#include <criterion/criterion.h>

#include <platform/line_codec.hpp>

using namespace hyssoprock;
using namespace hyssoprock::platform;

namespace {

Statement statementOf(const std::string &text)
{
    LineCallerCodec codec;
    codec.feed("STARTUP orders jana\r\nQUERY 7 " + text + "\r\n");
    cr_assert(std::holds_alternative<CallerStartup>(*codec.next().value()));
    return std::get<Statement>(*codec.next().value());
}

std::string commandLine(const EndpointCommand &command)
{
    std::string output;
    LineEndpointCodec{}.encodeCommand(command, output);
    return output;
}

std::string answerLines(const StatementAnswer &answer)
{
    std::string output;
    LineCallerCodec{}.encodeAnswer(answer, output);
    return output;
}

} // namespace

// Guards against results that depend on how the stream is split into chunks.
Test(lineCodec, callerMessagesAreIndependentOfChunks)
{
    const std::string stream =
        "STARTUP orders jana k\r\nQUERY 1 BEGIN READ\r\nQUERY 2 WRITE a b  c\r\nTERMINATE\r\n";
    for (std::size_t cut = 0; cut <= stream.size(); ++cut) {
        LineCallerCodec codec;
        std::vector<CallerMessage> messages;
        for (const auto &part : {stream.substr(0, cut), stream.substr(cut)}) {
            codec.feed(part);
            for (auto next = codec.next(); next.value(); next = codec.next()) {
                messages.push_back(std::move(*next.value()));
            }
        }
        cr_assert(messages.size() == 4, "cut at %zu", cut);
        cr_assert(std::get<CallerStartup>(messages[0]).database == "orders");
        cr_assert(std::get<CallerStartup>(messages[0]).user == "jana k");
        cr_assert(std::get<Statement>(messages[1]).kind == StatementKind::BeginReadOnly);
        cr_assert(std::get<Statement>(messages[2]).text == "WRITE a b  c");
        cr_assert(std::holds_alternative<CallerTermination>(messages[3]));
    }
}

// Guards against confusing statement kinds, and against changing a statement's text.
Test(lineCodec, parsesEveryStatement)
{
    const std::pair<const char *, StatementKind> cases[] = {
        {"BEGIN", StatementKind::Begin},
        {"BEGIN READ", StatementKind::BeginReadOnly},
        {"COMMIT", StatementKind::Commit},
        {"ROLLBACK", StatementKind::Rollback},
        {"READ a", StatementKind::Read},
        {"WRITE a two  words ", StatementKind::Write},
        {"SET limit 3", StatementKind::SetVariable},
        {"PREPARE p WRITE shape of it", StatementKind::Prepare},
        {"EXECUTE p a  data ", StatementKind::Execute},
        {"DEALLOC p", StatementKind::Deallocate},
    };
    for (const auto &[text, kind] : cases) {
        const auto statement = statementOf(text);
        cr_assert(statement.kind == kind, "%s", text);
        cr_assert(statement.id == "7");
        cr_assert(statement.text == text);
    }
    const auto prepare = statementOf("PREPARE p WRITE shape of it");
    cr_assert(prepare.name == "p" && prepare.shape == "shape of it" && prepare.writes);
    cr_assert_not(statementOf("PREPARE p READ s").writes);
    const auto execute = statementOf("EXECUTE p a  data ");
    cr_assert(execute.name == "p" && execute.argument == "a  data ");
    const auto variable = statementOf("SET limit 3 4");
    cr_assert(variable.name == "limit" && variable.argument == "3 4");
}

// Guards against accepting statements that only hyssoprock may send, and against guessing missing
// arguments.
Test(lineCodec, unknownStatementsAreMalformed)
{
    for (const auto *text : {"AFTER 1.2 READ a",
                             "RESET",
                             "STATUS",
                             "PAUSE",
                             "PAUSE 4",
                             "RESUME",
                             "STEPDOWN",
                             "STEPDOWN 4",
                             "",
                             " ",
                             "begin",
                             "BEGIN WRITE",
                             "BEGIN ",
                             "COMMIT now",
                             "COMMIT ",
                             "ROLLBACK x",
                             "READ",
                             "READ ",
                             "READ a b",
                             "READ  a",
                             "WRITE a",
                             "WRITE",
                             "WRITE  b",
                             "SET a",
                             "PREPARE p READ",
                             "PREPARE p READ ",
                             "PREPARE p OTHER s",
                             "PREPARE p",
                             "EXECUTE p",
                             "EXECUTE p ",
                             "EXECUTE p  a",
                             "EXECUTE  a",
                             "DEALLOC",
                             "DEALLOC a b",
                             "UNKNOWN a"}) {
        const auto statement = statementOf(text);
        cr_assert(statement.kind == StatementKind::Malformed, "%s", text);
        cr_assert(statement.id == "7");
        cr_assert(statement.name.empty() && statement.argument.empty());
    }
    cr_assert(parseStatement("-", "COMMIT").kind == StatementKind::Malformed);
    LineCallerCodec codec;
    codec.feed("STARTUP orders jana\r\nQUERY\r\nQUERY 8\r\n");
    cr_assert(codec.next().has_value());
    cr_assert(std::get<Statement>(*codec.next().value()).id.empty());
    cr_assert(std::get<Statement>(*codec.next().value()).id == "8");
}

// Guards against serving a caller after a framing error, and against a lone CR or LF that an
// endpoint could interpret as the end of a line, so that a second statement would run.
Test(lineCodec, callerStreamErrorsArePermanent)
{
    for (const auto *stream :
         {"QUERY 1 BEGIN\r\n", "TERMINATE\r\n", "STARTUP\r\n", "STARTUP orders\r\n",
          "STARTUP  jana\r\n", "STARTUP orders \r\n", "\r\n", "STARTUP orders jana\n",
          "STARTUP a b\r\nSTARTUP a b\r\n", "STARTUP a b\r\nREADY I -\r\n",
          "STARTUP a b\r\nTERMINATE now\r\n", "STARTUP a b\r\nQUERY 1 READ a\nQUERY 2 COMMIT\r\n",
          "STARTUP a b\r\nQUERY 1 READ a\rb\r\n", "STARTUP a b\r\n\r\n", "STARTUP a b\r\r\n"}) {
        LineCallerCodec codec;
        codec.feed(stream);
        auto next = codec.next();
        if (next.has_value()) {
            next = codec.next();
        }
        cr_assert(next.has_error(), "%s", stream);
        cr_assert(next.error().kind == ErrorKind::ProtocolViolation);
        codec.feed("STARTUP a b\r\n");
        cr_assert(codec.next().has_error());
    }
}

// Guards against unbounded buffering, and against rejecting a line of the maximum length.
Test(lineCodec, lineLengthIsLimited)
{
    const std::string start = "QUERY 1 WRITE a ";
    for (const bool tooLong : {false, true}) {
        LineCallerCodec codec;
        codec.feed("STARTUP orders jana\r\n");
        cr_assert(codec.next().has_value());
        codec.feed(start + std::string(lineBytesMax - start.size() + (tooLong ? 1 : 0), 'x'));
        cr_assert(codec.next().has_value());
        codec.feed("\r\n");
        const auto next = codec.next();
        cr_assert(next.has_error() == tooLong);
        if (tooLong) {
            cr_assert(next.error().kind == ErrorKind::MessageTooLarge);
        }
    }
    LineCallerCodec codec;
    codec.feed(std::string(lineBytesMax + 2, 'x'));
    cr_assert(codec.next().error().kind == ErrorKind::MessageTooLarge);
}

// Guards against commands that an endpoint cannot parse, or whose text was changed.
Test(lineCodec, encodesCommands)
{
    EndpointCommand command;
    command.id = "12";
    command.text = "WRITE a b  c ";
    cr_assert(commandLine(command) == "QUERY 12 WRITE a b  c \r\n");
    command.text = "READ a";
    command.after = LogPosition{3, 1209};
    cr_assert(commandLine(command) == "QUERY 12 AFTER 3.1209 READ a\r\n");
    command.kind = EndpointCommandKind::Execute;
    command.name = "h1";
    command.argument = "a  data ";
    cr_assert(commandLine(command) == "QUERY 12 AFTER 3.1209 EXECUTE h1 a  data \r\n");

    EndpointCommand own;
    own.name = "n";
    own.argument = "v w";
    own.shape = "s";
    own.term = 4;
    const std::pair<EndpointCommandKind, const char *> cases[] = {
        {EndpointCommandKind::Begin, "BEGIN"},
        {EndpointCommandKind::BeginReadOnly, "BEGIN READ"},
        {EndpointCommandKind::Rollback, "ROLLBACK"},
        {EndpointCommandKind::SetVariable, "SET n v w"},
        {EndpointCommandKind::Prepare, "PREPARE n READ s"},
        {EndpointCommandKind::Reset, "RESET"},
        {EndpointCommandKind::Status, "STATUS"},
        {EndpointCommandKind::Pause, "PAUSE 4"},
        {EndpointCommandKind::Resume, "RESUME"},
        {EndpointCommandKind::StepDown, "STEPDOWN 4"},
    };
    for (const auto &[kind, text] : cases) {
        own.kind = kind;
        cr_assert(commandLine(own) == std::string{"QUERY - "} + text + "\r\n", "%s", text);
    }
    own.kind = EndpointCommandKind::Prepare;
    own.writes = true;
    cr_assert(commandLine(own) == "QUERY - PREPARE n WRITE s\r\n");
    std::string startup;
    LineEndpointCodec{}.encodeStartup("huvo11a", "entry-1", "i-7", startup);
    cr_assert(startup == "STARTUP huvo11a entry-1 i-7\r\n");
}

// Guards against assigning a row, an error or a position to the wrong answer.
Test(lineCodec, endpointAnswersAreIndependentOfChunks)
{
    const std::string stream =
        "READY I 3.4\r\nDATAROW x  y \r\nDATAROW \r\nCOMPLETE sig\r\nREADY T 3.5\r\n"
        "ERROR NOSTMT no such name\r\nREADY E -\r\nCOMPLETE -\r\nREADY I -\r\n"
        "ERROR NEWCODE what is this\r\nREADY I 3.5\r\n";
    for (std::size_t cut = 0; cut <= stream.size(); ++cut) {
        LineEndpointCodec codec;
        std::vector<StatementAnswer> answers;
        for (const auto &part : {stream.substr(0, cut), stream.substr(cut)}) {
            codec.feed(part);
            for (auto next = codec.next(); next.value(); next = codec.next()) {
                answers.push_back(std::move(*next.value()));
            }
        }
        cr_assert(answers.size() == 5, "cut at %zu", cut);
        cr_assert(answers[0].kind == AnswerKind::Success);
        cr_assert((answers[0].position == LogPosition{3, 4}));
        cr_assert((answers[1].rows == std::vector<std::string>{"x  y ", ""}));
        cr_assert(answers[1].signature == "sig");
        cr_assert(answers[1].state == TransactionState::Open);
        cr_assert(answers[2].kind == AnswerKind::UnknownPrepared);
        cr_assert(answers[2].text == "no such name");
        cr_assert(answers[2].state == TransactionState::Failed);
        cr_assert_not(answers[2].position.has_value());
        cr_assert(answers[3].signature.empty() && answers[3].rows.empty());
        cr_assert(answers[4].kind == AnswerKind::Other);
        cr_assert(answers[4].code == "NEWCODE" && answers[4].text == "what is this");
    }
}

// Guards against waiting for a READY after a refused startup, which never follows.
Test(lineCodec, refusedStartupIsAnAnswer)
{
    LineEndpointCodec codec;
    codec.feed("ERROR MISROUTED other service\r\n");
    const auto answer = codec.next();
    cr_assert(answer.value()->kind == AnswerKind::Misrouted);
    cr_assert_not(codec.next().value().has_value());
    codec.feed("READY I -\r\n");
    cr_assert(codec.next().error().kind == ErrorKind::ProtocolViolation);
}

// Guards against using a connection whose answers no longer match its commands.
Test(lineCodec, endpointStreamErrorsArePermanent)
{
    for (const auto *stream :
         {"COMPLETE -\r\n", "DATAROW x\r\n", "READY\r\n", "READY X -\r\n", "READY I\r\n",
          "READY I 3\r\n", "READY I 3.x\r\n", "READY I .\r\n", "READY I 3.4 \r\n", "ERROR \r\n",
          "READY I -\r\nREADY I -\r\n", "READY I -\r\nCOMPLETE a\r\nDATAROW x\r\n",
          "READY I -\r\nCOMPLETE a\r\nCOMPLETE b\r\n", "READY I -\r\nQUERY 1 READ a\r\n",
          "READY I 99999999999999999999.1\r\n", "READY I -\n"}) {
        LineEndpointCodec codec;
        codec.feed(stream);
        auto next = codec.next();
        if (next.has_value()) {
            next = codec.next();
        }
        cr_assert(next.has_error(), "%s", stream);
        cr_assert(next.error().kind == ErrorKind::ProtocolViolation);
        codec.feed("READY I -\r\n");
        cr_assert(codec.next().has_error());
    }
}

// Guards against buffering an unbounded answer.
Test(lineCodec, answerSizeIsLimited)
{
    LineEndpointCodec codec;
    codec.feed("READY I -\r\n");
    cr_assert(codec.next().value().has_value());
    const auto row = "DATAROW " + std::string(lineBytesMax - 8, 'x') + "\r\n";
    Result<std::optional<StatementAnswer>> next = std::optional<StatementAnswer>{};
    for (std::size_t bytes = 0; bytes <= answerBytesMax && next.has_value(); bytes += row.size()) {
        codec.feed(row);
        next = codec.next();
    }
    cr_assert(next.has_error());
    cr_assert(next.error().kind == ErrorKind::MessageTooLarge);
}

// Guards against answers that callers cannot parse, and against an error text that contains a line
// end.
Test(lineCodec, encodesAnswers)
{
    StatementAnswer answer;
    cr_assert(answerLines(answer) == "COMPLETE -\r\nREADY I -\r\n");
    answer.rows = {"x  y ", ""};
    answer.signature = "sig";
    answer.state = TransactionState::Open;
    answer.position = LogPosition{3, 1209};
    cr_assert(answerLines(answer)
              == "DATAROW x  y \r\nDATAROW \r\nCOMPLETE sig\r\nREADY T 3.1209\r\n");
    StatementAnswer error;
    error.kind = AnswerKind::TimedOut;
    error.text = "late\r\nCOMPLETE x";
    error.state = TransactionState::Failed;
    cr_assert(answerLines(error) == "ERROR TIMEOUT late  COMPLETE x\r\nREADY E -\r\n");
    error.kind = AnswerKind::Other;
    error.code = "NEWCODE";
    error.text = "what";
    error.state = TransactionState::Idle;
    cr_assert(answerLines(error) == "ERROR NEWCODE what\r\nREADY I -\r\n");
    error.code.clear();
    cr_assert(answerLines(error) == "ERROR UNKNOWN what\r\nREADY I -\r\n");

    std::string output;
    LineCallerCodec{}.encodeAccepted(output);
    LineCallerCodec{}.encodeRefused(AnswerKind::NoDatabase, "no route", output);
    cr_assert(output == "READY I -\r\nERROR NODB no route\r\n");
}

// Guards against an error code that changes its meaning between endpoint and caller.
Test(lineCodec, errorCodesArePreserved)
{
    for (const auto *code :
         {"BUSY", "NOSTMT", "LAGGING", "READONLY", "MISROUTED", "TOOMANY", "ABORTED", "FAILED",
          "TIMEOUT", "UNKNOWN", "NODB", "MALFORMED", "TOOLARGE", "SOMETHING"}) {
        LineEndpointCodec codec;
        const auto lines = std::string{"ERROR "} + code + " why\r\nREADY I -\r\n";
        codec.feed("READY I -\r\n" + lines);
        cr_assert(codec.next().value().has_value());
        cr_assert(answerLines(*codec.next().value()) == lines, "%s", code);
    }
}
