#include <criterion/criterion.h>

#include <array>
#include <string>

#include <sys/socket.h>
#include <unistd.h>

#include <hyssoprock/daemon/log.hpp>

using namespace hyssoprock;

// Guards against losing the log if standard error cannot be opened by its name in /dev. The test
// uses a socket, which cannot be opened by name.
Test(log, standardErrorIsNotOpenedByName)
{
    std::array<int, 2> ends{};
    cr_assert_eq(::socketpair(AF_UNIX, SOCK_STREAM, 0, ends.data()), 0);
    const auto before = ::dup(STDERR_FILENO);
    ::dup2(ends[0], STDERR_FILENO);
    configureLog(LogSettings{});
    writeLog(LogLevel::Warning, LogComponent::Main, "a line for the test");
    ::dup2(before, STDERR_FILENO);
    std::array<char, 512> buffer{};
    const auto size = ::recv(ends[1], buffer.data(), buffer.size(), MSG_DONTWAIT);
    cr_assert_gt(size, 0);
    const std::string text{buffer.data(), static_cast<std::size_t>(size)};
    cr_assert(text.find("a line for the test") != std::string::npos, "%s", text.c_str());
}
