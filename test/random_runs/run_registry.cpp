#include "run_registry.hpp"

#include <array>

#include "codec_run.hpp"
#include "consensus_run.hpp"
#include "membership_run.hpp"

namespace hyssoprock::random_runs {

namespace {

constexpr std::array runs{
    NamedRun{"codec", &runCodec},
    NamedRun{"consensus", &runConsensus},
    NamedRun{"membership", &runMembership},
};

} // namespace

std::span<const NamedRun> namedRuns() noexcept
{
    return runs;
}

} // namespace hyssoprock::random_runs
