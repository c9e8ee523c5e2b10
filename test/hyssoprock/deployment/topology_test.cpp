#include <criterion/criterion.h>

#include <hyssoprock/deployment/topology.hpp>

using namespace hyssoprock;

// Guards against reads that cross regions although an endpoint in the same region could execute
// them.
Test(topology, dataCentresOfTheSameRegionAreNearer)
{
    const Topology topology{"a1", {"a1=a", "a2=a", "b1=b"}};
    cr_assert(topology.proximity("a1") == Proximity::SameDataCentre);
    cr_assert(topology.proximity("a2") == Proximity::SameRegion);
    cr_assert(topology.proximity("b1") == Proximity::Remote);
}

// Guards against treating a data centre of unknown region as a near one.
Test(topology, unknownRegionsAreRemote)
{
    const Topology topology{"a1", {"a1", "b1=", "c1=c"}};
    cr_assert(topology.proximity("a1") == Proximity::SameDataCentre);
    cr_assert(topology.proximity("b1") == Proximity::Remote);
    cr_assert(topology.proximity("c1") == Proximity::Remote);
    cr_assert(topology.proximity("other") == Proximity::Remote);
}
