"""Statements with other session values than those that were acknowledged, at an instance that fails part of
its requests."""

import asyncio
import json
import os
import random
import sys

sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), '..', 'standin-2'))
import small  # noqa: E402

GREY_SHARE = 0.45
GREY_SECONDS = 6.5
SESSIONS = 8


class World(small.World):
    """Compares the values at each run with those that the client of the statement holds."""

    def __init__(self, folder):
        super().__init__(folder)
        self.expected = {}
        self.breaks = []

    def sent(self, session, ident, text):
        super().sent(session, ident, text)
        self.expected[ident] = (session.name, dict(session.values))

    def ran(self, connection, ident, text):
        super().ran(connection, ident, text)
        client, values = self.expected[ident]
        if connection.values != values:
            line = 'PINNED: %s of client %s ran on %s with the values %s, acknowledged are %s' % (
                text, client, connection.key, json.dumps(connection.values, sort_keys=True),
                json.dumps(values, sort_keys=True))
            self.record(line)
            self.breaks.append(line)


def make(folder):
    return World(folder)


async def client(world, number, until):
    """A session that sets a value of its own, then reads and writes; it opens a new one after an error."""
    loop = asyncio.get_running_loop()
    count = 0
    while loop.time() < until:
        count += 1
        session = small.Session(world, 'c%d.%d' % (number, count))
        session.values = {}
        try:
            await session.open(world.entry_ips[0], world.front_port, 'svc0p' if number % 2 else 'svc0b')
            name, value = 'team%d' % (number % 3), 'value-%d-%d' % (number, count)
            code, _rows, _state = await session.query('SET %s %s' % (name, value))
            if code:
                continue
            session.values[name] = value
            for step in range(8):
                if loop.time() >= until:
                    break
                text = ('WRITE item%d data%d' % (number, step) if number % 2 and step % 2
                        else 'READ item%d' % number)
                await session.query(text)
                await asyncio.sleep(random.uniform(0.02, 0.08))
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
            await asyncio.sleep(0.1)
        finally:
            session.close()


async def run(world, trouble):
    loop = asyncio.get_running_loop()
    until = loop.time() + GREY_SECONDS + 3
    clients = [asyncio.ensure_future(client(world, i, until)) for i in range(SESSIONS)]
    await asyncio.sleep(2)
    grey = world.instance('i-svc0-0')
    if trouble:
        world.record('trouble: %s fails %d%% of its requests' % (grey.name, GREY_SHARE * 100))
        grey.grey = GREY_SHARE
    await asyncio.sleep(GREY_SECONDS)
    grey.grey = 0.0
    world.record('trouble ends')
    await asyncio.gather(*clients)
    if grey.runs < 100:
        raise small.CannotRun('the instance ran only %d statements' % grey.runs)
    return world.breaks


if __name__ == '__main__':
    small.main(os.path.dirname(os.path.abspath(__file__)), sys.modules[__name__])
