// Runs the tests; with --write FOLDER, writes all transcripts instead (see tools/golden).

#include <fstream>
#include <iostream>
#include <string>
#include <string_view>

#include <criterion/criterion.h>

#include "scripts.hpp"

namespace {

int writeTranscripts(const std::string &folder)
{
    for (const auto &script : hyssoprock::golden::scripts()) {
        const auto path = folder + "/" + std::string{script.name} + ".txt";
        std::ofstream file{path, std::ios::binary};
        file << script.transcript();
        file.close();
        if (!file) {
            std::cerr << "cannot write " << path << "\n";
            return 1;
        }
    }
    return 0;
}

} // namespace

int main(int argc, char *argv[])
{
    if (argc == 3 && std::string_view{argv[1]} == "--write") {
        return writeTranscripts(argv[2]);
    }
    auto *tests = criterion_initialize();
    int result = 0;
    if (criterion_handle_args(argc, argv, true) != 0) {
        result = criterion_run_all_tests(tests) != 0 ? 0 : 1;
    }
    criterion_finalize(tests);
    return result;
}
