#include <hyssoprock/endpoint/statement.hpp>

#include <algorithm>
#include <charconv>
#include <span>
#include <utility>

#include <hyssoprock/endpoint/tokenizer.hpp>

namespace hyssoprock::endpoint {

namespace {

/// Protocol limit of the parameter count of a statement.
constexpr std::size_t parameterCountMax = 65535;

/// Recursive descent parser. After the first unexpected token the parser is at the end of the input
/// and all functions return immediately.
class Parser
{
public:
    explicit Parser(std::vector<Token> tokens)
        : tokens_{std::move(tokens)}
    {}

    Result<std::vector<Statement>> run()
    {
        std::vector<Statement> statements;
        while (!failed_) {
            while (acceptSymbol(';')) {}
            if (peek().kind == TokenKind::End) {
                return statements;
            }
            statements.push_back(statement());
            if (peek().kind != TokenKind::End) {
                expectSymbol(';');
            }
        }
        return failure(ErrorKind::ProtocolViolation, "syntax error at \"" + unexpected_ + "\"");
    }

private:
    [[nodiscard]] const Token &peek() const { return tokens_[position_]; }

    void fail()
    {
        if (!failed_) {
            failed_ = true;
            unexpected_ = peek().kind == TokenKind::End ? "end of input" : peek().text;
        }
        position_ = tokens_.size() - 1;
    }

    Token take()
    {
        auto token = peek();
        if (token.kind != TokenKind::End) {
            ++position_;
        }
        return token;
    }

    bool acceptWord(std::string_view word)
    {
        const auto &token = peek();
        if (token.kind != TokenKind::Word || token.quoted || token.text != word) {
            return false;
        }
        ++position_;
        return true;
    }

    bool acceptSymbol(char symbol)
    {
        if (peek().kind != TokenKind::Symbol || peek().text[0] != symbol) {
            return false;
        }
        ++position_;
        return true;
    }

    void expectWord(std::string_view word)
    {
        if (!acceptWord(word)) {
            fail();
        }
    }

    void expectSymbol(char symbol)
    {
        if (!acceptSymbol(symbol)) {
            fail();
        }
    }

    std::string name()
    {
        if (peek().kind != TokenKind::Word) {
            fail();
            return {};
        }
        return take().text;
    }

    /// Skips a cast such as ::text, because all values are text.
    void skipCast()
    {
        while (acceptSymbol(':')) {
            expectSymbol(':');
            static_cast<void>(name());
        }
    }

    Operand operand()
    {
        auto value = operandWithoutCast();
        skipCast();
        return value;
    }

    Operand operandWithoutCast()
    {
        if (acceptWord("null")) {
            return NullLiteral{};
        }
        const bool negative = acceptSymbol('-');
        const auto kind = peek().kind;
        if (kind == TokenKind::Number) {
            return (negative ? "-" : "") + take().text;
        }
        if (negative) {
            fail();
        } else if (kind == TokenKind::Parameter) {
            return parameter();
        } else if (kind == TokenKind::Text
                   || (kind == TokenKind::Word
                       && (peek().text == "true" || peek().text == "false"))) {
            return take().text;
        }
        fail();
        return NullLiteral{};
    }

    Operand parameter()
    {
        const auto token = take();
        std::size_t number = 0;
        const auto *end = token.text.data() + token.text.size();
        const auto [stop, error] = std::from_chars(token.text.data(), end, number);
        if (error != std::errc{} || stop != end || number == 0 || number > parameterCountMax) {
            fail();
            return NullLiteral{};
        }
        return ParameterReference{number - 1};
    }

    template <class Element, class Function>
    std::vector<Element> list(Function element)
    {
        std::vector<Element> elements;
        do {
            elements.push_back(element());
        } while (!failed_ && acceptSymbol(','));
        return elements;
    }

    std::vector<Condition> whereClause()
    {
        std::vector<Condition> conditions;
        if (!acceptWord("where")) {
            return conditions;
        }
        do {
            auto column = name();
            expectSymbol('=');
            conditions.push_back({std::move(column), operand()});
        } while (!failed_ && acceptWord("and"));
        return conditions;
    }

    Statement statement()
    {
        if (acceptWord("begin") || acceptWord("start")) {
            skipOptionWords();
            return BeginStatement{};
        }
        if (acceptWord("commit") || acceptWord("end")) {
            skipOptionWords();
            return CommitStatement{};
        }
        if (acceptWord("rollback") || acceptWord("abort")) {
            skipOptionWords();
            return RollbackStatement{};
        }
        if (acceptWord("set")) {
            return set();
        }
        if (acceptWord("show")) {
            return ShowStatement{name()};
        }
        if (acceptWord("insert")) {
            return insert();
        }
        if (acceptWord("select")) {
            return select();
        }
        if (acceptWord("update")) {
            return update();
        }
        if (acceptWord("delete")) {
            expectWord("from");
            auto table = name();
            return DeleteStatement{std::move(table), whereClause()};
        }
        fail();
        return BeginStatement{};
    }

    /// Skips TRANSACTION, WORK and isolation levels, which have no effect on the stand-in.
    void skipOptionWords()
    {
        while (peek().kind == TokenKind::Word) {
            ++position_;
        }
    }

    Statement set()
    {
        static_cast<void>(acceptWord("session") || acceptWord("local"));
        auto parameterName = name();
        if (!acceptWord("to")) {
            expectSymbol('=');
        }
        const auto kind = peek().kind;
        if (kind != TokenKind::Text && kind != TokenKind::Word && kind != TokenKind::Number) {
            fail();
        }
        return SetStatement{std::move(parameterName), take().text};
    }

    Statement insert()
    {
        expectWord("into");
        InsertStatement insert;
        insert.table = name();
        expectSymbol('(');
        insert.columns = list<std::string>([this] { return name(); });
        expectSymbol(')');
        expectWord("values");
        insert.rows = list<std::vector<Operand>>([this] {
            expectSymbol('(');
            auto row = list<Operand>([this] { return operand(); });
            expectSymbol(')');
            return row;
        });
        for (const auto &row : insert.rows) {
            if (row.size() != insert.columns.size()) {
                fail();
            }
        }
        return insert;
    }

    [[nodiscard]] bool isCallNext() const
    {
        return peek().kind == TokenKind::Word && tokens_[position_ + 1].kind == TokenKind::Symbol
               && tokens_[position_ + 1].text == "(";
    }

    Statement select()
    {
        SelectStatement select;
        if (isCallNext()) {
            if (!acceptWord("count")) {
                return call();
            }
            expectSymbol('(');
            expectSymbol('*');
            expectSymbol(')');
            select.count = true;
        } else if (peek().kind == TokenKind::Word && peek().text != "true" && peek().text != "false"
                   && peek().text != "null") {
            select.columns = list<std::string>([this] { return name(); });
        } else if (!acceptSymbol('*')) {
            return SelectValueStatement{operand()};
        }
        expectWord("from");
        select.table = name();
        select.conditions = whereClause();
        return select;
    }

    Statement call()
    {
        CallStatement call{name(), {}};
        expectSymbol('(');
        if (!acceptSymbol(')')) {
            call.arguments = list<Operand>([this] { return operand(); });
            expectSymbol(')');
        }
        return call;
    }

    Assignment assignment()
    {
        Assignment assignment;
        assignment.column = name();
        expectSymbol('=');
        if (peek().kind == TokenKind::Word && !peek().quoted && peek().text == assignment.column) {
            ++position_;
            assignment.add = true;
            assignment.negate = acceptSymbol('-');
            if (!assignment.negate) {
                expectSymbol('+');
            }
        }
        assignment.operand = operand();
        return assignment;
    }

    Statement update()
    {
        UpdateStatement update;
        update.table = name();
        expectWord("set");
        update.assignments = list<Assignment>([this] { return assignment(); });
        update.conditions = whereClause();
        return update;
    }

    std::vector<Token> tokens_;
    std::size_t position_ = 0;
    bool failed_ = false;
    std::string unexpected_;
};

void updateHighestParameter(const Operand &operand, std::size_t &highest)
{
    if (const auto *reference = std::get_if<ParameterReference>(&operand)) {
        highest = std::max(highest, reference->number + 1);
    }
}

} // namespace

Result<std::vector<Statement>> parseStatements(std::string_view text)
{
    auto tokens = tokenize(text);
    if (tokens.has_error()) {
        return tokens.as_failure();
    }
    return Parser{std::move(tokens.value())}.run();
}

std::size_t parameterCount(const Statement &statement)
{
    std::size_t highest = 0;
    if (const auto *insert = std::get_if<InsertStatement>(&statement)) {
        for (const auto &row : insert->rows) {
            for (const auto &operand : row) {
                updateHighestParameter(operand, highest);
            }
        }
    } else if (const auto *call = std::get_if<CallStatement>(&statement)) {
        for (const auto &operand : call->arguments) {
            updateHighestParameter(operand, highest);
        }
    } else if (const auto *value = std::get_if<SelectValueStatement>(&statement)) {
        updateHighestParameter(value->value, highest);
    }
    const auto countConditions = [&highest](const std::vector<Condition> &conditions) {
        for (const auto &condition : conditions) {
            updateHighestParameter(condition.operand, highest);
        }
    };
    if (const auto *select = std::get_if<SelectStatement>(&statement)) {
        countConditions(select->conditions);
    } else if (const auto *remove = std::get_if<DeleteStatement>(&statement)) {
        countConditions(remove->conditions);
    } else if (const auto *update = std::get_if<UpdateStatement>(&statement)) {
        countConditions(update->conditions);
        for (const auto &assignment : update->assignments) {
            updateHighestParameter(assignment.operand, highest);
        }
    }
    return highest;
}

} // namespace hyssoprock::endpoint
