#include <cstdint>
#include <string>
#include <string_view>

#include <criterion/criterion.h>

#include <hyssoprock/settings/loader.hpp>

using namespace hyssoprock;

namespace {

constexpr std::string_view outsideText = "a character outside ASCII must be in quotes or a comment";
constexpr std::string_view notUtf8Text = "a byte that is not UTF-8";

void expectError(const std::string &text, std::uint32_t line, std::uint32_t column,
                 std::string_view reason)
{
    const auto errors = parseSettings(text).errors;
    cr_assert(errors.size() == 1, "%s: %zu errors", text.c_str(), errors.size());
    cr_assert(errors[0].text == reason, "%s: %s", text.c_str(), errors[0].text.c_str());
    cr_assert(errors[0].line == line && errors[0].column == column, "%s: %u:%u", text.c_str(),
              errors[0].line, errors[0].column);
}

void expectAllowed(const std::string &text)
{
    for (const auto &error : parseSettings(text).errors) {
        // Only character errors have a column.
        cr_assert(error.column == 0, "%s: %s", text.c_str(), toString("f.toml", error).c_str());
    }
}

} // namespace

// Guards against undefined behaviour of toml++ 3.3 on a bare key with a letter outside ASCII.
Test(tomlText, rejectsALetterOutsideAsciiInABareKey)
{
    expectError("X\u03c4", 1, 2, outsideText);
    expectError("[host]\nna\u03c4me = 1\n", 2, 3, outsideText);
    expectError("[h\u00f6st]\n", 1, 3, outsideText);
    expectError("[host]\na.\u03c4 = 1\n", 2, 3, outsideText);
    expectError("a = { \u03c4 = 1 }\n", 1, 7, outsideText);
    cr_assert(toString("f.toml", parseSettings("X\u03c4").errors[0])
              == "f.toml:1:2: " + std::string{outsideText});
}

// Guards against accepting characters outside ASCII as values, blanks or line ends.
Test(tomlText, rejectsACharacterOutsideAsciiBetweenTokens)
{
    expectError("a = \u0661\n", 1, 5, outsideText);
    expectError("a\u00a0= 1\n", 1, 2, outsideText);
    expectError("a = 1\u2028b = 2\n", 1, 6, outsideText);
    expectError("a = 1\n\uFEFFb = 2\n", 2, 1, outsideText);
}

// Guards against rejecting what TOML 1.0 allows.
Test(tomlText, allowsAnyCharacterInStringsQuotedKeysAndComments)
{
    expectAllowed("# \u03c4 \"\na = 1 # '\u03c4\n");
    expectAllowed("a = \"\u03c4 \U0001F600\"\nb = '\u03c4'\n");
    expectAllowed("\"\u03c4\" = 1\n'\u03c4' = 2\n[\"h\u00f6st\"]\n");
    expectAllowed("a = \"\"\"\n\u03c4\n# \u03c4\n\"\"\"\nb = '''\n\u03c4\n'''\n");
    expectAllowed("\xEF\xBB\xBF# \u03c4\na = 1\n");
}

// Guards against ending a string at a quote that belongs to it.
Test(tomlText, quotesWithinStringsDoNotEndThem)
{
    expectAllowed("a = \"\\\"\u03c4\"\n");
    expectAllowed("a = '\"\u03c4'\n");
    expectAllowed("a = \"'#\u03c4\"\n");
    expectAllowed("a = \"\"\"\"\u03c4\"\" \\\"\"\"\u03c4\"\"\"\n");
    expectAllowed("a = \"\"\"\u03c4\"\"\"\"\" # \u03c4\n");
    expectAllowed("a = '''\u03c4''\u03c4'''''\n");
    expectAllowed("a = \"\"\"\\\\\"\"\" # \u03c4\n");
    expectAllowed("a = \"\"\"\u03c4 \\\n   x\u03c4\"\"\"\n");
}

// Guards against treating text after the end of a string as part of it.
Test(tomlText, aStringEndsAtItsQuote)
{
    expectError("a = \"\"\u03c4\n", 1, 7, outsideText);
    expectError("a = \"\\\\\"\u03c4\n", 1, 9, outsideText);
    expectError("a = '\\'\u03c4\n", 1, 8, outsideText);
    expectError("a = '''\n'''\u03c4\n", 2, 4, outsideText);
    expectError("a = \"\"\"\"\"\"\u03c4\n", 1, 11, outsideText);
    expectError("a = \"\"\"\\\\\"\"\"\u03c4\n", 1, 13, outsideText);
    expectError("a = \"\u03c4\"\u03c4\n", 1, 8, outsideText);
    expectError("# \u03c4\n\u03c4\n", 2, 1, outsideText);
    expectError("# \u03c4\r\n\u03c4\n", 2, 1, outsideText);
    // An unterminated string ends with its line.
    expectError("a = \"b\n\u03c4 = 1\n", 2, 1, outsideText);
}

// Guards against invalid UTF-8 from a settings file in log lines and answers.
Test(tomlText, rejectsInvalidUtf8Everywhere)
{
    const std::string invalid[] = {
        "\x80",             // continuation byte without a first byte
        "\xC0\xAF",         // overlong
        "\xE0\x80\xAF",     // overlong
        "\xF0\x80\x80\xAF", // overlong
        "\xED\xA0\x80",     // surrogate
        "\xF4\x90\x80\x80", // above U+10FFFF
        "\xF5\x80\x80\x80", // invalid first byte
        "\xFF",             // invalid first byte
        "\xCF",             // truncated
        "\xE2\x82",         // truncated
        "\xF0\x9F\x98",     // truncated
    };
    for (const auto &bytes : invalid) {
        expectError("#" + bytes, 1, 2, notUtf8Text);
        expectError("# \n'" + bytes + "'", 2, 2, notUtf8Text);
        expectError("a = \"\"\"\n\u03c4" + bytes + "\"\"\"", 2, 2, notUtf8Text);
        expectError("a" + bytes + " = 1\n", 1, 2, notUtf8Text);
    }
}

// Guards against checking only one of the two kinds of settings files.
Test(tomlText, checksPooledSettings)
{
    const auto errors = parsePooledSettings("X\u03c4").errors;
    cr_assert(errors.size() == 1 && errors[0].text == outsideText && errors[0].column == 2);
}

// Guards against a malformed header after a byte order mark, which aborted the process in the TOML
// parser (found by tools/fuzz, settings_fuzz), and against a second mark.
Test(tomlText, checksTextAfterAByteOrderMark)
{
    const std::string mark{"\xEF\xBB\xBF"};
    expectError(mark + "[~host]\n", 1, 0, "a table header must begin with a key");
    expectError(mark + "X\u03c4", 1, 2, outsideText);
    expectError(mark + mark + "a = 1\n", 1, 1, outsideText);
}

// Guards against undefined behaviour of toml++ 3.3 on a character outside ASCII after a line
// continuation (found by this test's own inputs under UndefinedBehaviorSanitizer).
Test(tomlText, rejectsACharacterOutsideAsciiAfterALineContinuation)
{
    constexpr std::string_view text = "a character outside ASCII after a backslash at a line's end";
    expectError("a = \"\"\"\u03c4 \\\n   \u03c4\"\"\"\n", 2, 4, text);
    expectError("a = \"\"\"\\ \t\r\n\n\u03c4\"\"\"\n", 3, 1, text);
    expectAllowed("a = \"\"\"\\\\\n\u03c4\"\"\"\n");
}
