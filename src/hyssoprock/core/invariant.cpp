#include <hyssoprock/core/invariant.hpp>

#include <cstdio>
#include <cstdlib>
#include <string>

namespace hyssoprock {

void check(bool holds, std::string_view invariant, const boost::source_location &where)
{
    if (holds) {
        return;
    }
    const std::string text{invariant};
    std::fprintf(stderr, "[main] invariant broken at %s:%u: %s\n", where.file_name(),
                 static_cast<unsigned>(where.line()), text.c_str());
    std::fflush(stderr);
    std::abort();
}

} // namespace hyssoprock
