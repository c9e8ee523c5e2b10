#include <sstream>
#include <string>
#include <vector>

#include <absl/flags/flag.h>
#include <criterion/criterion.h>

#include <hyssoprockctl/commands.hpp>
#include <hyssoprockctl/flag_check.hpp>
#include <hyssoprockctl/flags.hpp>

using namespace hyssoprock;

namespace {

struct CommandResult
{
    int status = 0;
    std::string out;
    std::string error;
};

CommandResult run(const Arguments &words)
{
    std::ostringstream out;
    std::ostringstream error;
    const auto status = runCommandLine({out, error}, words);
    return {status, out.str(), error.str()};
}

void expectUsageError(const Arguments &words, const std::string &message)
{
    const auto result = run(words);
    cr_expect(result.status == 2, "%s: status %d", message.c_str(), result.status);
    cr_expect(result.error.starts_with(message + "\n"), "expected \"%s\", got \"%s\"",
              message.c_str(), result.error.c_str());
    cr_expect(result.error.find("hyssoprockctl --control") != std::string::npos);
    cr_expect(result.out.empty());
}

std::string flagError(std::vector<std::string> words)
{
    std::vector<char *> pointers;
    for (auto &word : words) {
        pointers.push_back(word.data());
    }
    return findFlagError(static_cast<int>(pointers.size()), pointers.data()).value_or("");
}

} // namespace

// Guards against an invalid command line that is executed, or that is rejected without a message
// that names the error.
Test(commandLine, wordsAreChecked)
{
    expectUsageError({}, "a command is needed");
    expectUsageError({"status"}, "--control is needed");
    absl::SetFlag(&FLAGS_control, {"nobody"});
    expectUsageError({"status"}, "--control: " + parseNamedAddress("nobody").error().detail);
    absl::SetFlag(&FLAGS_control, {"a=127.0.0.1:1"});
    expectUsageError({"stop"}, "unknown command \"stop\"");
    expectUsageError({"status", "a", "b"}, "wrong number of arguments");
    expectUsageError({"declare-kind", "a"}, "wrong number of arguments");
    expectUsageError({"follow", "x"}, "the revision must be a number");
    absl::SetFlag(&FLAGS_watch, true);
    expectUsageError({"status"}, "--watch is for \"pooled status\" only");
}

// Guards against the same faults in commands of the pooled deployment.
Test(commandLine, pooledWordsAreChecked)
{
    expectUsageError({"pooled"}, "pooled: a command is needed, for example \"pooled status\"");
    expectUsageError({"pooled", "promote"}, "unknown command \"pooled promote\"");
    expectUsageError({"pooled", "status"},
                     "pooled status: the address of a control host is needed");
    expectUsageError({"pooled", "status", "localhost:1"},
                     "pooled status: " + parseAddress("localhost:1").error().detail);
    expectUsageError({"pooled", "status", "127.0.0.1:0"},
                     "pooled status: \"127.0.0.1:0\" has port 0");
    absl::SetFlag(&FLAGS_count, 1);
    expectUsageError({"pooled", "status", "127.0.0.1:1"}, "--count needs --watch");
    absl::SetFlag(&FLAGS_interval_ms, 999);
    expectUsageError({"pooled", "status", "127.0.0.1:1"}, "--interval_ms must be at least 1000");
    absl::SetFlag(&FLAGS_timeout_ms, 499);
    expectUsageError({"pooled", "status", "127.0.0.1:1"},
                     "--timeout_ms must be at least 500 for pooled status");
    absl::SetFlag(&FLAGS_control, {"a=127.0.0.1:1"});
    expectUsageError({"pooled", "status", "127.0.0.1:1"},
                     "--control is not for pooled commands; give ADDRESS... after the command");
}

// Guards against an exit status that lets a script treat an unreachable deployment as healthy, and
// against --watch continuing although the first request failed.
Test(commandLine, anUnreachableDeploymentHasItsOwnExitStatus)
{
    const auto plain = run({"pooled", "status", "127.0.0.1:1"});
    cr_expect(plain.status == 5 && plain.out.empty());
    cr_expect(plain.error.starts_with("no answer: 127.0.0.1:1: "), "%s", plain.error.c_str());
    absl::SetFlag(&FLAGS_json, true);
    const auto json = run({"pooled", "status", "127.0.0.1:1"});
    cr_expect(json.status == 5 && json.error.empty());
    cr_expect(json.out.starts_with(R"({"result": "unreachable", "detail": "127.0.0.1:1: )"), "%s",
              json.out.c_str());
    absl::SetFlag(&FLAGS_watch, true);
    const auto watched = run({"pooled", "status", "127.0.0.1:1"});
    cr_expect(watched.status == 5 && watched.out == json.out);
}

// Guards against misspelt flags and invalid flag values being ignored.
Test(commandLine, flagsAreChecked)
{
    cr_expect(flagError({"hyssoprockctl", "--wach"}) == "unknown flag --wach");
    cr_expect(flagError({"hyssoprockctl", "--interval_ms"}) == "flag --interval_ms has no value");
    cr_expect(flagError({"hyssoprockctl", "--interval_ms=x"}).starts_with("flag --interval_ms: "));
    cr_expect(flagError({"hyssoprockctl", "pooled", "status", "--watch", "--count=2"}).empty());
}
