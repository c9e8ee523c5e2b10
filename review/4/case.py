"""A paused replica restarts while a promotion call is under way, and the primary doesn't answer the control leader."""
import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(HERE, "..", "standin"))
from restart import load, lost, summary  # noqa: E402
from world import Instance, Service, World, finish  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"


async def main():
    world = World(HERE, "isvarn-prod", fronts=5)
    service = Service("huvo11a", 1)
    zones = list(world.zones)
    for n, name in enumerate(("i-a", "i-b", "i-c")):
        service.instances.append(Instance(world, service, name, world.instanceIps[n], zones[n], n == 0))
    a, b, c = service.instances

    async def crash(instance):
        await instance.stop()
        await asyncio.sleep(0.05)
        await instance.start()

    def called(target):
        """The other replica crashes as the platform accepts the call, and is back 50 ms later."""
        world.onCall = None
        other = b if target is c else c
        if target is not a:
            world.tasks.append(asyncio.ensure_future(crash(other)))

    try:
        await world.start([service])
        clients = load(world, transactions=5, writes=20)
        await asyncio.sleep(6.0)
        if sum(client.commits for client in clients) == 0:
            print("the system does not serve")
            return 2
        a.cut(world.controlIps + ["front-1", "front-2", "front-3"], 5.0)
        if TROUBLE:
            world.onCall = called
        await asyncio.sleep(14.0)
        return summary(world, "LOST", lost(world))
    finally:
        await world.finish()


finish(main())
