"""A leave that a partition held up removes a live replica, so that a promotion pauses too few replicas."""
import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(HERE, "..", "standin"))
from restart import CUT_S, load, restart, summary  # noqa: E402
from world import Instance, Service, World, finish  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"


def judge(world):
    """LOST: an acknowledged commit isn't in the log of the instance that is promoted."""
    broken = []
    for promotedAt, service, target, newTerm, log in world.promotions:
        held = {entry[2] for entry in log}
        for request, (at, instance, term, number) in world.commits.items():
            answer = world.answers.get(request)
            if answer is None or answer[2][0] != "COMPLETE" or answer[0] > promotedAt:
                continue
            if term < newTerm and instance.service is service and request not in held:
                broken.append(f"commit {request} at {instance.name} as {term}.{number} was acknowledged "
                              f"{1000 * (promotedAt - answer[0]):.0f} ms before {target.name} was promoted without it")
    return broken


async def main():
    world = World(HERE, "kesarbaug-rounds")
    service = Service("huvo11a", 1)
    world.orderDelay = 0.0054  # one way between zones
    for name, ip, zone, primary in (("i-a", 0, "ahd-a", True), ("i-b", 1, "srt-a", False), ("i-c", 2, "rjt-a", False)):
        service.instances.append(Instance(world, service, name, world.instanceIps[ip], zone, primary))
    a, b, c = service.instances
    try:
        await world.start([service])
        clients = load(world, transactions=8, writes=24)
        await asyncio.sleep(6.0)
        if sum(client.commits for client in clients) == 0:
            print("the system does not serve")
            return 2
        # The operator restarts the instances of the service one after the other.
        await restart(world, b, TROUBLE)
        await asyncio.sleep(CUT_S + 1.0)
        second = asyncio.ensure_future(restart(world, a, False))
        await asyncio.sleep(14.0)
        second.cancel()
        return summary(world, "LOST", judge(world))
    finally:
        await world.finish()


finish(main())
