#include <criterion/criterion.h>

#include <hyssoprock/deployment/topology.hpp>

using namespace hyssoprock;

// Guards against reads that cross regions although an endpoint of the own region could run them.
Test(topology, dataCentresOfTheOwnRegionAreNearerThanOthers)
{
    const Topology topology{"a1", {"a1=a", "a2=a", "b1=b"}};
    cr_assert(topology.proximity("a1") == Proximity::SameDataCentre);
    cr_assert(topology.proximity("a2") == Proximity::SameRegion);
    cr_assert(topology.proximity("b1") == Proximity::Remote);
}

// Guards against a data centre of unknown region that is taken for a near one.
Test(topology, unknownRegionsAreRemote)
{
    const Topology topology{"a1", {"a1", "b1=", "c1=c"}};
    cr_assert(topology.proximity("a1") == Proximity::SameDataCentre);
    cr_assert(topology.proximity("b1") == Proximity::Remote);
    cr_assert(topology.proximity("c1") == Proximity::Remote);
    cr_assert(topology.proximity("other") == Proximity::Remote);
}
