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
        // Only errors of characters have a column.
        cr_assert(error.column == 0, "%s: %s", text.c_str(), toString("f.toml", error).c_str());
    }
}

} // namespace

// Guards against undefined behaviour of toml++ 3.3 on a bare key with a letter outside ASCII.
Test(tomlText, aLetterOutsideAsciiInABareKeyIsRefusedWithItsPlace)
{
    expectError("X\u03c4", 1, 2, outsideText);
    expectError("[host]\nna\u03c4me = 1\n", 2, 3, outsideText);
    expectError("[h\u00f6st]\n", 1, 3, outsideText);
    expectError("[host]\na.\u03c4 = 1\n", 2, 3, outsideText);
    expectError("a = { \u03c4 = 1 }\n", 1, 7, outsideText);
    cr_assert(toString("f.toml", parseSettings("X\u03c4").errors[0])
              == "f.toml:1:2: " + std::string{outsideText});
}

// Guards against characters outside ASCII that are passed on as values, blanks or ends of lines.
Test(tomlText, aCharacterOutsideAsciiBetweenTokensIsRefused)
{
    expectError("a = \u0661\n", 1, 5, outsideText);
    expectError("a\u00a0= 1\n", 1, 2, outsideText);
    expectError("a = 1\u2028b = 2\n", 1, 6, outsideText);
    expectError("a = 1\n\uFEFFb = 2\n", 2, 1, outsideText);
}

// Guards against a check that refuses what TOML 1.0 allows.
Test(tomlText, stringsQuotedKeysAndCommentsMayHoldAnyCharacter)
{
    expectAllowed("# \u03c4 \"\na = 1 # '\u03c4\n");
    expectAllowed("a = \"\u03c4 \U0001F600\"\nb = '\u03c4'\n");
    expectAllowed("\"\u03c4\" = 1\n'\u03c4' = 2\n[\"h\u00f6st\"]\n");
    expectAllowed("a = \"\"\"\n\u03c4\n# \u03c4\n\"\"\"\nb = '''\n\u03c4\n'''\n");
    expectAllowed("\xEF\xBB\xBF# \u03c4\na = 1\n");
}

// Guards against a check that loses track of where a string ends.
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

// Guards against a string that is taken to be open after its end.
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

// Guards against bytes that are not UTF-8 in log lines and answers, wherever they stand.
Test(tomlText, bytesThatAreNotUtf8AreRefusedEverywhere)
{
    const std::string invalid[] = {
        "\x80",             // continuation byte without a first one
        "\xC0\xAF",         // overlong
        "\xE0\x80\xAF",     // overlong
        "\xF0\x80\x80\xAF", // overlong
        "\xED\xA0\x80",     // surrogate
        "\xF4\x90\x80\x80", // above U+10FFFF
        "\xF5\x80\x80\x80", // no first byte of a sequence
        "\xFF",             // no first byte of a sequence
        "\xCF",             // cut short
        "\xE2\x82",         // cut short
        "\xF0\x9F\x98",     // cut short
    };
    for (const auto &bytes : invalid) {
        expectError("#" + bytes, 1, 2, notUtf8Text);
        expectError("# \n'" + bytes + "'", 2, 2, notUtf8Text);
        expectError("a = \"\"\"\n\u03c4" + bytes + "\"\"\"", 2, 2, notUtf8Text);
        expectError("a" + bytes + " = 1\n", 1, 2, notUtf8Text);
    }
}

// Guards against a check that only one of the two kinds of settings files makes.
Test(tomlText, settingsOfThePooledDeploymentAreCheckedToo)
{
    const auto errors = parsePooledSettings("X\u03c4").errors;
    cr_assert(errors.size() == 1 && errors[0].text == outsideText && errors[0].column == 2);
}

// Guards against a damaged header behind a byte order mark, which ended the process inside the TOML
// parser (found by tools/fuzz, settings_fuzz), and against a second mark.
Test(tomlText, whatFollowsAByteOrderMarkIsChecked)
{
    const std::string mark{"\xEF\xBB\xBF"};
    expectError(mark + "[~host]\n", 1, 0, "a table header must begin with a key");
    expectError(mark + "X\u03c4", 1, 2, outsideText);
    expectError(mark + mark + "a = 1\n", 1, 1, outsideText);
}

// Guards against undefined behaviour of toml++ 3.3 on a character outside ASCII behind a backslash
// that joins two lines (found by this test's own inputs under UndefinedBehaviorSanitizer).
Test(tomlText, aCharacterOutsideAsciiBehindAJoinedLineIsRefused)
{
    constexpr std::string_view text = "a character outside ASCII after a backslash at a line's end";
    expectError("a = \"\"\"\u03c4 \\\n   \u03c4\"\"\"\n", 2, 4, text);
    expectError("a = \"\"\"\\ \t\r\n\n\u03c4\"\"\"\n", 3, 1, text);
    expectAllowed("a = \"\"\"\\\\\n\u03c4\"\"\"\n");
}
