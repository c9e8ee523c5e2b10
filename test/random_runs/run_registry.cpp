#include "run_registry.hpp"

#include <array>

#include "codec_run.hpp"
#include "consensus_run.hpp"
#include "limits_run.hpp"
#include "entry_run.hpp"

namespace hyssoprock::random_runs {

namespace {

constexpr std::array runs{
    NamedRun{"codec", &runCodec},
    NamedRun{"limits", &runLimits},
    NamedRun{"consensus", &runConsensus},
    NamedRun{"entry", &runEntry},
};

} // namespace

std::span<const NamedRun> namedRuns() noexcept
{
    return runs;
}

} // namespace hyssoprock::random_runs
