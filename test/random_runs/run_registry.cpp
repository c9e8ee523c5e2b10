#include "run_registry.hpp"

#include <array>

#include "codec_run.hpp"
#include "consensus_run.hpp"
#include "deployment_run.hpp"
#include "endpoint_run.hpp"
#include "entry_run.hpp"
#include "failover_run.hpp"
#include "group_run.hpp"
#include "limits_run.hpp"
#include "membership_run.hpp"
#include "pgwire_run.hpp"
#include "pooler_run.hpp"

namespace hyssoprock::random_runs {

namespace {

constexpr std::array runs{
    NamedRun{"codec", &runCodec},
    NamedRun{"deployment", &runDeployment},
    NamedRun{"deployment_unfenced", &runUnfencedDeployment},
    NamedRun{"consensus", &runConsensus},
    NamedRun{"endpoint", &runEndpoint},
    NamedRun{"entry", &runEntry},
    NamedRun{"failover", &runFailover},
    NamedRun{"failover_gap", &runFailoverGap},
    NamedRun{"group", &runGroup},
    NamedRun{"limits", &runLimits},
    NamedRun{"membership", &runMembership},
    NamedRun{"pgwire", &runPgwire},
    NamedRun{"pooler", &runPooler},
    NamedRun{"pooler_fair", &runFairPooler},
    NamedRun{"pooler_even", &runEvenPooler},
};

} // namespace

std::span<const NamedRun> namedRuns() noexcept
{
    return runs;
}

} // namespace hyssoprock::random_runs
