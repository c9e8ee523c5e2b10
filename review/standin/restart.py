"""A planned restart of an instance under its id, and the load beside it."""
import asyncio

from world import BASE, Client, Link

# The largest length of a cut of a primary in the site file is 5.84 s.
CUT_S = 5.8


async def leave(world, instance, host, link):
    """Sends the leave on a connection that is open already. A cut link holds its bytes up, although the sender ends."""
    reader, writer = await asyncio.open_connection(host, world.controlPort)

    async def send():
        try:
            await link.open.wait()
            writer.write(f"POST {BASE}/instances/{instance.name}/leave HTTP/1.1\r\nHost: {host}\r\n"
                         "Content-Length: 0\r\n\r\n".encode())
            answer = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 5)
            world.note(f"{host} receives that {instance.name} leaves and answers {answer[9:12].decode()}")
        except (OSError, asyncio.TimeoutError, ConnectionError, asyncio.IncompleteReadError) as error:
            world.note(f"the leave of {instance.name} at {host} failed: {error!r}")
        writer.close()

    return send


async def restart(world, instance, cut):
    """A planned restart under the same id and address: drains, leaves, ends, starts a second later."""
    await instance.drain()
    host = instance.lastHost
    link = Link()
    send = await leave(world, instance, host, link)
    if cut:
        link.cut()
        instance.links[host] = link
        world.note(f"the link between {instance.name} and {host} is cut")

        def heal():
            link.heal()
            world.note(f"the link between {instance.name} and {host} is whole again")

        world.later(CUT_S, heal)
    world.note(f"instance {instance.name} sends its leave to {host}")
    world.tasks.append(asyncio.ensure_future(send()))
    await asyncio.sleep(0.05)
    await instance.stop()
    await asyncio.sleep(1.0)
    await instance.start()


async def transaction(client):
    await client.transaction(client.random.randint(2, 8), 0.22)


async def write(client):
    await client.query(f"WRITE k{client.number} v{client.requests}")


def load(world, transactions, writes):
    """Starts clients with transactions and clients with single writes on a route of the kind `primary`."""
    clients = []
    for n in range(transactions + writes):
        client = Client(world, n, world.frontIps[n % len(world.frontIps)], "huvo11a-primary", n)
        clients.append(client)
        world.tasks.append(asyncio.ensure_future(client.loop(transaction if n < transactions else write)))
    return clients


def lost(world):
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


def summary(world, rule, broken):
    """Writes what was found into the record. Returns the status of the case."""
    ended = world.checkProcesses()
    world.note(f"{world.statements} statements sent, {len(world.commits)} commits run, "
               f"{len(world.promotions)} promotions, processes that ended: {ended}")
    for line in broken:
        world.note(f"BROKEN {rule}: {line}")
    print(f"{len(world.commits)} commits, {len(world.promotions)} promotions, rule {rule} broken {len(broken)} times")
    for line in broken[:3]:
        print("  " + line)
    return 2 if ended else 1 if broken else 0
