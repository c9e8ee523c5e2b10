#include <cstdio>
#include <exception>
#include <string>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <hyssoprock/daemon/process.hpp>
#include <hyssoprock/settings/loader.hpp>

ABSL_FLAG(bool, check, false, "only check the settings file");

namespace {

using namespace hyssoprock;

constexpr int exitUsage = 2;
constexpr int exitFailure = 1;

int run(const std::string &path)
{
    const auto loaded = loadSettings(path);
    for (const auto &error : loaded.errors) {
        std::fprintf(stderr, "%s\n", toString(path, error).c_str());
    }
    if (!loaded.errors.empty()) {
        return exitUsage;
    }
    if (absl::GetFlag(FLAGS_check)) {
        std::printf("%s: valid\n", path.c_str());
        return 0;
    }
    return runProcess(loaded.settings);
}

} // namespace

int main(int argc, char **argv)
{
    absl::SetProgramUsageMessage("database proxy with session consistency\n\n"
                                 "usage: hyssoprockd [--check] SETTINGS.toml");
    const auto arguments = absl::ParseCommandLine(argc, argv);
    if (arguments.size() != 2) {
        std::fprintf(stderr, "usage: hyssoprockd [--check] SETTINGS.toml\n");
        return exitUsage;
    }
    try {
        return run(arguments[1]);
    } catch (const std::exception &error) {
        std::fprintf(stderr, "[main] %s\n", error.what());
        return exitFailure;
    }
}
