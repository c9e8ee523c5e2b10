#include <algorithm>
#include <string>
#include <vector>

#include <criterion/criterion.h>

#include <hyssoprock/settings/address.hpp>
#include <hyssoprock/settings/loader.hpp>

using namespace hyssoprock;

namespace {

// The tests below expect line numbers within this text, which has 14 lines.
const std::string validText = R"([host]
name = "entry-1"
data_centre = "lulea-a"
roles = ["entry", "control"]
data_folder = "/tmp/x"
[listen]
callers = "127.0.0.1:0"
control = "127.0.0.1:0"
peers = "127.0.0.1:0"
[control]
hosts = ["entry-1=127.0.0.1:4001"]
[session]
token_key = "0123456789abcdef"
idle_timeout_ms = 60000
)";

std::string replaced(std::string text, const std::string &from, const std::string &to)
{
    const auto at = text.find(from);
    cr_assert(at != std::string::npos, "the test text holds %s", from.c_str());
    return text.replace(at, from.size(), to);
}

struct Case
{
    std::string text;
    std::uint32_t line;
    std::string key;
    std::string reason;
};

void expectOnly(const Case &expected)
{
    const auto errors = parseSettings(expected.text).errors;
    cr_assert(errors.size() == 1, "%s: %zu errors", expected.reason.c_str(), errors.size());
    cr_assert(errors[0].line == expected.line, "%s: line %u", expected.reason.c_str(),
              errors[0].line);
    cr_assert(errors[0].key == expected.key, "key %s", errors[0].key.c_str());
    cr_assert(errors[0].text.find(expected.reason) != std::string::npos, "text %s",
              errors[0].text.c_str());
}

} // namespace

// Guards against lost defaults, and against values that are stored in the wrong member.
Test(settings, loadsAValidFileWithDefaults)
{
    const auto loaded = parseSettings(validText);
    cr_assert(loaded.errors.empty());
    cr_assert(loaded.settings.host.name == "entry-1");
    cr_assert(loaded.settings.session.idleTimeout == std::chrono::seconds{60});
    cr_assert(loaded.settings.lease.hostLease == std::chrono::milliseconds{1500});
    cr_assert(hasRole(loaded.settings, "control"));
}

// Guards against errors of a single key that are missed or reported with the wrong line or key.
Test(settings, reportsEachErrorOfAKeyWithItsLine)
{
    const std::vector<Case> cases{
        {replaced(validText, "name =", "nam = 1\nname ="), 2, "host.nam", "unknown key"},
        {validText + "[other]\nx = 1\n", 15, "other", "unknown section"},
        {replaced(validText, "\"entry-1\"", "7"), 2, "host.name", "must be text"},
        {replaced(validText, "60000", "\"60000\""), 14, "session.idle_timeout_ms", "whole number"},
        {replaced(validText, "60000", "60000.5"), 14, "session.idle_timeout_ms", "whole number"},
        {replaced(validText, "60000", "-1"), 14, "session.idle_timeout_ms", "is not in"},
        {replaced(validText, "60000", "1"), 14, "session.idle_timeout_ms", "is not in"},
        {replaced(validText, "\"lulea-a\"", "\"\""), 3, "host.data_centre", "must not be empty"},
        {replaced(validText, "\"entry\", ", "\"entrance\", "), 4, "host.roles", "is not one of"},
        {replaced(validText, "\"entry\", ", "5, "), 4, "host.roles", "only texts"},
        {replaced(validText, "callers = \"127.0.0.1:0\"", "callers = \"localhost:1\""), 7,
         "listen.callers", "malformed"},
        {replaced(validText, "callers = \"127.0.0.1:0\"", "callers = \"127.0.0.1:65536\""), 7,
         "listen.callers", "0..65535"},
        {replaced(validText, "name = \"entry-1\"\n", ""), 1, "host.name", "is required"},
        {validText + "[log]\ndecisions = 1\n", 16, "log.decisions", "true or false"},
        {validText + "[log]\nlevel = \"loud\"\n", 16, "log.level", "is not one of"},
        {replaced(validText, "\"entry-1=", "\"="), 11, "control.hosts", "name=IP:port"},
        {validText + "[routing\n", 15, "", ""},
    };
    for (const auto &single : cases) {
        expectOnly(single);
    }
}

// Guards against a malformed header that aborts the process in the TOML parser instead of being
// reported (found by tools/fuzz, settings_fuzz).
Test(settings, rejectsATableHeaderWithoutAKey)
{
    for (const auto *header : {"[ = 3\n", "[]\n", "[[ ]]\n", "  [\t.x]\n"}) {
        const auto errors = parseSettings(std::string{"# first line\n"} + header).errors;
        cr_assert_eq(errors.size(), 1);
        cr_assert_eq(errors.front().line, 2);
    }
}

// Guards against settings that are valid one by one but violate a timing or role rule together.
Test(settings, rejectsSettingsThatViolateAConstraint)
{
    const std::vector<Case> cases{
        {validText + "[lease]\nrenew_interval_ms = 750\n", 16, "lease.renew_interval_ms", "half"},
        {validText + "[lease]\nprobe_interval_ms = 350\n", 16, "lease.probe_interval_ms", "half"},
        {validText + "[raft]\nelection_timeout_min_ms = 200\n", 16, "raft.election_timeout_min_ms",
         "two heartbeats"},
        {validText + "[raft]\nelection_timeout_max_ms = 500\n", 16, "raft.election_timeout_max_ms",
         "above"},
        {replaced(validText, "data_folder = \"/tmp/x\"\n", ""), 1, "host.data_folder",
         "needs a data folder"},
        {replaced(validText, "callers = \"127.0.0.1:0\"\n", ""), 6, "listen.callers", "needs"},
        {replaced(validText, "peers = \"127.0.0.1:0\"\n", ""), 6, "listen.peers", "needs"},
        {replaced(validText, "0123456789abcdef", "0123456789abcde"), 13, "session.token_key",
         "16 bytes"},
        {replaced(validText, "127.0.0.1:4001\"", "127.0.0.1:0\""), 11, "control.hosts", "no port"},
        {replaced(validText, "4001\"]", "4001\", \"entry-1=127.0.0.1:4002\"]"), 11, "control.hosts",
         "twice"},
        {replaced(validText, "entry-1=", "control-1="), 11, "control.hosts", "must list"},
        {validText + "[membership]\nprobe_timeout_ms = 1000\n", 16, "membership.probe_timeout_ms",
         "below"},
        {validText + "[limits]\nreserved_connections = 9\n", 16, "limits.reserved_connections",
         "local_connections"},
        {validText + "[limits]\nelection_deadline_ms = 999\n", 16, "limits.election_deadline_ms",
         "queue_deadline"},
        {validText + "[request]\nmajority_poll_ms = 2000\n", 16, "request.majority_poll_ms",
         "below"},
        {validText + "[request]\nmessage_bytes_max = 2048\n", 0, "request.buffer_bytes", ""},
    };
    for (auto single : cases) {
        // The reported key is absent in the last case, so the error has the line of its section.
        if (single.line == 0) {
            single.line = 15;
        }
        expectOnly(single);
    }
}

// Guards against stopping at the first error: operators need to see all errors at once.
Test(settings, reportsAllErrorsInOrder)
{
    auto text = replaced(validText, "60000", "-1");
    text = replaced(text, "\"entry-1\"", "7");
    text += "[lease]\nrenew_interval_ms = 1000\nspeed = 1\n";
    const auto errors = parseSettings(text).errors;
    cr_assert(errors.size() == 4);
    cr_assert(std::is_sorted(errors.begin(), errors.end(),
                             [](const auto &a, const auto &b) { return a.line < b.line; }));
    cr_assert(toString("x.toml", errors[0]) == "x.toml:2: host.name: must be text in quotes");
}

// Guards against treating a missing file as an empty one.
Test(settings, aMissingFileIsAnError)
{
    const auto errors = loadSettings("/nonexistent/hyssoprock.toml").errors;
    cr_assert(errors.size() == 1);
    cr_assert(errors[0].text == "cannot be read");
}

// Guards against accepting host names, missing ports and unbracketed IPv6 numbers as addresses.
Test(settings, rejectsMalformedAddresses)
{
    for (const auto *text : {"", "127.0.0.1", "127.0.0.1:", "127.0.0.1:x", "127.0.0.1:-1", "::1:80",
                             "[127.0.0.1]:80", "host:80", "127.0.0.1:80 "}) {
        cr_assert(parseAddress(text).has_error(), "%s", text);
    }
    const auto v6 = parseAddress("[::1]:80");
    cr_assert(toString(v6.value()) == "[::1]:80");
}
