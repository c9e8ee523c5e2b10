#include <exception>
#include <iostream>

#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <hyssoprock/core/error_kind.hpp>

#include "commands.hpp"
#include "flag_check.hpp"
#include "usage.hpp"

int main(int argc, char **argv)
{
    using namespace hyssoprock;
    const Console console{std::cout, std::cerr};
    absl::SetProgramUsageMessage(usageText);
    if (const auto error = findFlagError(argc, argv)) {
        return usageError(console, *error);
    }
    try {
        const auto words = absl::ParseCommandLine(argc, argv);
        return runCommandLine(console, {words.begin() + 1, words.end()});
    } catch (const std::exception &error) {
        std::cerr << error.what() << "\n";
        return describe(ErrorKind::Unreachable).exitStatus;
    }
}
