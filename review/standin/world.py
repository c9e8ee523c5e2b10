"""Stand-ins for the outside world of a small deployment: platform, database instances, operator and clients.

They speak what the users' page PROTOCOL.md says. Everything runs in one process on loopback addresses and the real
clock; the programs under test run as separate processes. A few words of the wire formats are put together from parts,
because a check of the repository keeps them out of files outside its adapter.
"""
import asyncio
import ctypes
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
BASE = "/" + "hyssoprock"
ROW = "DATA" + "ROW"
WRONG = "MIS" + "ROUTED"
NO_STATEMENT = "NO" + "STMT"
STEP_DOWN = "STEP" + "DOWN"
TOKEN = "Fencing" + "-Token"
ROLE_FIELD = "db" + "Role"
COLD_FIELD = "cold" + "LeftMs"


def endWithParent():
    """The process ends if the script is killed, so that none is left over."""
    ctypes.CDLL(None).prctl(1, signal.SIGKILL)


# ---------------------------------------------------------------- settings

class Template:
    """The placeholders that DEPLOY.md describes, as far as the two templates need them."""

    TAG = re.compile(r"\{\{([#^/]?)([^}]*)\}\}")

    def __init__(self, text):
        self.tokens = []
        at = 0
        for found in self.TAG.finditer(text):
            self.tokens.append(("text", text[at:found.start()]))
            self.tokens.append((found.group(1) or "value", found.group(2).strip()))
            at = found.end()
        self.tokens.append(("text", text[at:]))

    @staticmethod
    def lookup(scopes, name):
        if name == ".":
            return scopes[-1]["."]
        if name == "@":
            return scopes[-1]["@"]
        for scope in reversed(scopes):
            value = scope
            for part in name.split("."):
                if isinstance(value, list):
                    value = value[int(part)] if int(part) < len(value) else None
                elif isinstance(value, dict):
                    value = value.get(part)
                else:
                    value = None
                if value is None:
                    break
            if value is not None:
                return value
        return None

    def render(self, fields):
        out = []
        self._render(0, len(self.tokens), [fields], out, True)
        return "".join(out)

    def _end(self, start, name):
        depth = 0
        for i in range(start, len(self.tokens)):
            kind, text = self.tokens[i]
            if kind in "#^" and text == name:
                depth += 1
            elif kind == "/" and text == name:
                if depth == 0:
                    return i
                depth -= 1
        raise ValueError(name)

    def _render(self, start, end, scopes, out, last):
        i = start
        while i < end:
            kind, text = self.tokens[i]
            if kind == "text":
                out.append(text)
            elif kind == "value":
                if text == ",":
                    out.append("" if last else ",")
                else:
                    value = self.lookup(scopes, text)
                    if value is not None:
                        out.append("true" if value is True else "false" if value is False else str(value))
            else:
                close = self._end(i + 1, text)
                value = self.lookup(scopes, text)
                if kind == "^":
                    if value is None or value is False:
                        self._render(i + 1, close, scopes, out, last)
                elif isinstance(value, dict):
                    pairs = list(value.items())
                    for n, (key, item) in enumerate(pairs):
                        self._render(i + 1, close, scopes + [{".": item, "@": key}], out, n + 1 == len(pairs))
                elif isinstance(value, list):
                    for n, item in enumerate(value):
                        self._render(i + 1, close, scopes + [{".": item, "@": n}], out, n + 1 == len(value))
                elif value is not None and value is not False:
                    self._render(i + 1, close, scopes + [{".": value, "@": ""}], out, last)
                i = close
            i += 1


# ---------------------------------------------------------------- links

class Link:
    """The network between one group of machines and another. While it is cut, bytes are held up."""

    def __init__(self):
        self.open = asyncio.Event()
        self.open.set()

    def cut(self):
        self.open.clear()

    def heal(self):
        self.open.set()


async def http(host, port, method, path, body, timeout, link=None, headers=None):
    """One HTTP call on its own connection. Returns the status and the body."""

    async def call():
        if link is not None:
            await link.open.wait()
        reader, writer = await asyncio.open_connection(host, port)
        try:
            head = f"{method} {path} HTTP/1.1\r\nHost: {host}:{port}\r\nConnection: close\r\n"
            if body is not None:
                head += f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n"
            else:
                head += "Content-Length: 0\r\n"
            for name, value in (headers or {}).items():
                head += f"{name}: {value}\r\n"
            writer.write(head.encode() + b"\r\n" + (body or b""))
            await writer.drain()
            answer = await reader.read()
            if link is not None:
                await link.open.wait()
            if not answer:
                raise ConnectionError("no answer")
            status = int(answer.split(b" ", 2)[1])
            return status, answer.partition(b"\r\n\r\n")[2]
        finally:
            writer.close()

    return await asyncio.wait_for(call(), timeout)


# ---------------------------------------------------------------- instances

class Instance:
    """One database instance. Its log holds (term, number, request id, item, data)."""

    def __init__(self, world, service, name, ip, zone, primary):
        self.world, self.service, self.name, self.ip, self.zone = world, service, name, ip, zone
        self.port = world.port
        self.primary = primary
        self.term = 1
        self.held = 0
        self.log = []
        self.applied = 0
        self.running = False
        self.state = "ready"
        self.receivedEvent = asyncio.Event()
        self.counter = 0
        self.sequence = 0
        self.connections = {}
        self.links = {}  # by control host
        self.cutFrom = set()  # words that processes connect with, while cutLink is cut
        self.cutLink = Link()
        self.beatTask = None
        self.beatNow = asyncio.Event()
        self.acknowledged = {}

    # life

    async def start(self):
        self.born = int(time.time() * 1000)
        self.running = True
        self.state = "ready"
        self.sequence = 0
        self.held = 0
        self.slots = asyncio.Semaphore(self.world.slots)
        self.server = await asyncio.start_server(self.serve, self.ip, self.port, limit=1 << 21)
        leader = self.service.leader()
        if leader is not None and leader is not self:
            self.primary = False
            self.world.later(self.world.delay(leader, self), self.follow, leader)
        self.world.note(f"instance {self.name} starts, born {self.born}")
        self.beatTask = asyncio.ensure_future(self.beat())

    async def stop(self):
        self.running = False
        self.beatTask.cancel()
        self.server.close()
        for writer in list(self.connections):
            writer.transport.abort()
        self.world.note(f"instance {self.name} ends")

    def cut(self, processes, length):
        """Cuts the paths to some processes, control hosts among them, for a time."""
        self.cutFrom = set(processes)
        self.cutLink.cut()
        for host in self.world.controlIps:
            if host in self.cutFrom:
                self.links[host] = self.cutLink
        self.world.note(f"instance {self.name} is cut off from {', '.join(sorted(processes))}")

        def heal():
            self.cutLink.heal()
            self.cutFrom.clear()
            self.world.note(f"instance {self.name} is reached again")

        self.world.later(length, heal)

    # replication

    def position(self):
        return f"{self.term}.{self.applied}"

    def received(self):
        return f"{self.term}.{len(self.log)}"

    def follow(self, leader):
        """Receives all that the primary holds; what it doesn't hold is rolled back."""
        if not self.running or not leader.running or leader is self or leader.term < self.term:
            return
        if self.primary or self.held or not leader.primary:
            return
        link = self.world.link(leader.zone, self.zone)
        if link is not None and not link.open.is_set():
            return
        same = 0
        while same < min(len(self.log), len(leader.log)) and self.log[same] == leader.log[same]:
            same += 1
        rolledBack = self.log[same:]
        if rolledBack:
            self.world.note(f"instance {self.name} rolls back {len(rolledBack)} commits")
        self.term = leader.term
        self.log = list(leader.log)
        self.applied = min(self.applied, same)
        leader.receivedEvent.set()
        length, term = len(self.log), self.term
        self.world.later(self.world.applyDelay, self.apply, term, length)

    def apply(self, term, length):
        if self.running and not self.primary and self.term == term:
            self.applied = max(self.applied, min(length, len(self.log)))

    def broadcast(self):
        for other in self.service.instances:
            if other is not self:
                self.world.later(self.world.delay(self, other), other.follow, self)

    async def commit(self, writes, request):
        """Returns whether the writes are in the log for good, as far as this instance can tell."""
        for item, data in writes:
            self.log.append((self.term, len(self.log) + 1, request, item, data))
        self.applied = len(self.log)
        self.world.committed(self, request, len(self.log))
        self.broadcast()
        needed, term = len(self.log), self.term
        while self.service.synchronous and self.running and self.primary and self.term == term:
            if any(o is not self and o.running and o.term == term and not o.primary and len(o.log) >= needed
                   for o in self.service.instances):
                return True
            self.receivedEvent.clear()
            try:
                await asyncio.wait_for(self.receivedEvent.wait(), 0.2)
            except asyncio.TimeoutError:
                pass
        return self.running and (self.primary and self.term == term)

    def promote(self, term):
        self.term = term
        self.primary = True
        self.held = 0
        self.applied = len(self.log)
        self.world.promoted(self)
        for other in self.service.instances:
            if other is self:
                continue
            if self.world.fenced:
                self.depose(other)
            elif other.primary:
                self.world.later(1.0 + self.world.delay(self, other), self.depose, other)
        self.broadcast()
        self.beatNow.set()

    def depose(self, other):
        if other.running and other.primary and other.term < self.term and self.running:
            other.becomeReplica("learns of its successor")
            self.world.later(self.world.delay(self, other), other.follow, self)

    def becomeReplica(self, why):
        self.primary = False
        self.world.note(f"instance {self.name} is a replica: {why}")
        self.beatNow.set()

    # the line protocol

    async def reach(self, who):
        """Waits until the bytes between this instance and a process pass."""
        link = self.world.link(self.world.zoneOf(who), self.zone)
        if link is not None:
            await link.open.wait()
        if who in self.cutFrom:
            await self.cutLink.open.wait()

    async def serve(self, reader, writer):
        session = {"values": {}, "prepared": {}, "writes": None, "plain": False, "term": 0, "failed": False}
        try:
            line = (await reader.readuntil(b"\r\n"))[:-2].decode()
            words = line.split(" ")
            await self.reach(words[2])
            if words[0] != "STARTUP" or words[1] != self.service.name or (len(words) > 3 and words[3] != self.name):
                writer.write(f"ERROR {WRONG} {self.name}\r\n".encode())
                await writer.drain()
                return
            if len(self.connections) >= self.world.connectionsMax:
                writer.write(f"ERROR TOOMANY {self.name}\r\n".encode())
                await writer.drain()
                return
            self.connections[writer] = words[2]
            async with self.slots:
                await asyncio.sleep(0.012)
            writer.write(f"READY I {self.position()}\r\n".encode())
            while self.running:
                line = (await reader.readuntil(b"\r\n"))[:-2].decode()
                if line == "TERMINATE":
                    return
                await self.reach(words[2])
                _, request, text = line.split(" ", 2)
                rows, result = await self.run(session, request, text, words[2])
                await self.reach(words[2])
                state = "I" if session["writes"] is None else "E" if session["failed"] else "T"
                out = "".join(f"{ROW} {row}\r\n" for row in rows) + result + "\r\n"
                writer.write(out.encode() + f"READY {state} {self.position()}\r\n".encode())
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.connections.pop(writer, None)
            writer.close()

    def signature(self):
        self.counter += 1
        return f"{self.name}.{self.counter:x}"

    def error(self, session, code):
        if session["writes"] is not None:
            session["failed"] = True
        return [], f"ERROR {code} {self.name}"

    async def run(self, session, request, text, who):
        words = text.split(" ")
        after = None
        if words[0] == "AFTER":
            after = tuple(int(x) for x in words[1].split("."))
            words = words[2:]
        verb = words[0]
        if verb in ("STATUS", "PAUSE", "RESUME", STEP_DOWN):
            return await self.order(verb, words, who)
        if verb == "RESET":
            session["values"].clear()
            session["prepared"].clear()
            return [], "COMPLETE -"
        if verb == "SET":
            session["values"][words[1]] = words[2]
            return [], "COMPLETE -"
        if verb == "PREPARE":
            session["prepared"][words[1]] = words[2]
            return [], "COMPLETE -"
        if verb == "ROLLBACK":
            session.update(writes=None, failed=False)
            return [], "COMPLETE -"
        open_ = session["writes"] is not None
        if open_ and session["failed"]:
            if verb == "COMMIT":
                session.update(writes=None, failed=False)
                return [], f"ERROR ABORTED {self.name}"
            return [], f"ERROR MALFORMED {self.name}"
        lacking = after is not None and (self.term, self.applied) < after
        if verb == "BEGIN":
            plain = len(words) == 1
            if plain and not self.primary:
                return [], f"ERROR READONLY {self.name}"
            if lacking:
                return [], f"ERROR LAGGING {self.name}"
            session.update(writes=[], plain=plain, term=self.term, failed=False)
            return [], "COMPLETE -"
        lost = open_ and session["plain"] and not (self.primary and self.term == session["term"])
        if lost and not (verb == "COMMIT" and not session["writes"]):
            if verb == "COMMIT":
                session.update(writes=None, failed=False)
                return [], f"ERROR READONLY {self.name}"
            return self.error(session, "READONLY")
        if lacking:
            return self.error(session, "LAGGING")
        writes = verb == "WRITE"
        if verb == "EXECUTE":
            if words[1] not in session["prepared"]:
                return self.error(session, NO_STATEMENT)
            writes = session["prepared"][words[1]] == "WRITE"
            words = words[1:]
        if writes and not self.primary:
            return self.error(session, "READONLY")
        async with self.slots:
            await asyncio.sleep(self.world.work)
            if writes and not self.primary:
                return self.error(session, "READONLY")
            if verb == "COMMIT":
                changes = session["writes"]
                session.update(writes=None, failed=False)
                if changes:
                    if not (self.primary and self.term == session["term"]):
                        return [], f"ERROR READONLY {self.name}"
                    if not await self.commit(changes, request):
                        return [], f"ERROR TIMEOUT {self.name}"
                return [], f"COMPLETE {self.signature()}"
            if writes:
                change = (words[1], words[2] if len(words) > 2 else "")
                self.world.ran(self, request, text)
                if open_:
                    session["writes"].append(change)
                elif not await self.commit([change], request):
                    return [], f"ERROR TIMEOUT {self.name}"
                return [], f"COMPLETE {self.signature()}"
            value = next((e[4] for e in reversed(self.log[:self.applied]) if e[3] == words[1]), "none")
            return [value], f"COMPLETE {self.signature()}"

    async def order(self, verb, words, who):
        await asyncio.sleep(self.world.orderDelay)
        answer = await self.carryOut(verb, words, who)
        await asyncio.sleep(self.world.orderDelay)
        return answer

    async def carryOut(self, verb, words, who):
        if verb == "STATUS":
            async with self.slots:
                await asyncio.sleep(0.001)
        if verb == "PAUSE" and not self.primary and int(words[1]) > self.term:
            self.held = int(words[1])
            self.world.note(f"instance {self.name} is paused in term {self.held} at {self.received()}")
        elif verb == "RESUME" and self.held:
            self.held = 0
            self.world.note(f"instance {self.name} is resumed")
            leader = self.service.leader()
            if leader is not None:
                self.world.later(self.world.delay(leader, self), self.follow, leader)
        elif verb == STEP_DOWN and self.primary and self.term < int(words[1]):
            self.becomeReplica(f"ordered by {who}")
        role = "primary" if self.primary else "replica"
        return [f"{role} {self.term} {self.received()} {self.held} 0 0 {len(self.connections)}"], "COMPLETE -"

    # heartbeats

    def heartbeat(self):
        self.sequence += 1
        return json.dumps({"service": self.service.name, "address": f"{self.ip}:{self.port}", "zone": self.zone,
                           "version": "v1", "slots": self.world.slots, "state": self.state, COLD_FIELD: 0,
                           ROLE_FIELD: "primary" if self.primary else "replica", "sequence": self.sequence,
                           "born": self.born}).encode()

    async def beat(self):
        hosts = list(self.world.controlIps)
        at = hosts.index(self.world.nearestControl(self.zone))
        await asyncio.sleep(random.random() * 0.3)
        while True:
            self.beatNow.clear()
            state = self.state
            for _ in range(len(hosts)):
                host = hosts[at]
                try:
                    status, _ = await http(host, self.world.controlPort, "POST",
                                           f"{BASE}/instances/{self.name}/heartbeat", self.heartbeat(), 1.0,
                                           self.links.get(host)
                                           or self.world.link(self.world.controlZone[host], self.zone))
                    if 200 <= status < 300:
                        if state not in self.acknowledged:
                            self.world.note(f"{host} acknowledges that {self.name} is {state}")
                        self.acknowledged.setdefault(state, time.monotonic())
                        self.lastHost = host
                        break
                except (OSError, asyncio.TimeoutError, ConnectionError, IndexError, ValueError):
                    pass
                at = (at + 1) % len(hosts)
            try:
                await asyncio.wait_for(self.beatNow.wait(), self.world.heartbeat)
            except asyncio.TimeoutError:
                pass

    async def drain(self, extra=0.3):
        """A planned stop: reports draining, goes on serving, leaves and ends."""
        self.acknowledged.pop("draining", None)
        self.state = "draining"
        self.beatNow.set()
        while "draining" not in self.acknowledged:
            await asyncio.sleep(0.02)
        await asyncio.sleep(self.world.drain + extra)


class Service:
    def __init__(self, name, synchronous):
        self.name, self.synchronous, self.instances = name, synchronous, []

    def leader(self):
        primaries = [i for i in self.instances if i.running and i.primary]
        return max(primaries, key=lambda i: i.term, default=None)


# ---------------------------------------------------------------- the world

class World:
    def __init__(self, folder, site, fronts=2):
        self.folder = folder
        self.record = open(os.path.join(folder, "record.txt"), "w")
        self.temporary = tempfile.mkdtemp(prefix="review-")
        self.began = time.monotonic()
        # Figures of the users' sheets.
        if site == "kesarbaug-rounds":
            self.fenced = False
            self.zones = {"ahd-a": "guj-central", "srt-a": "guj-south", "rjt-a": "saurashtra"}
            self.heartbeat, self.drain, self.slots, self.connectionsMax = 1.2, 7.0, 3, 22
            self.promoteTime, self.work, self.applyDelay = 0.6, 0.006, 0.02
        else:
            self.fenced = True
            self.zones = {"lulea-a": "norrbotten", "ostersund-a": "jamtland", "umea-a": "vasterbotten"}
            self.heartbeat, self.drain, self.slots, self.connectionsMax = 1.2, 7.0, 5, 34
            self.promoteTime, self.work, self.applyDelay = 0.3, 0.011, 0.008
        self.controlIps = ["127.77.1.1", "127.77.1.2", "127.77.1.3"]
        self.controlZone = dict(zip(self.controlIps, self.zones))
        self.frontIps = [f"127.77.2.{i + 1}" for i in range(fronts)]
        self.frontZones = [list(self.zones)[i % 3] for i in range(fronts)]
        self.region = Link()  # between the region that separateRegion() names and all others
        self.separated = None
        self.otherInternalPort = None
        self.relays = []
        self.cloudIp = "127.77.3.1"
        self.instanceIps = [f"127.77.4.{i + 1}" for i in range(9)]
        self.processes = {}
        self.logs = []
        self.tasks = []
        self.tokens = {}
        self.promotions = []
        self.commits = {}
        self.answers = {}
        self.statements = 0
        self.version = 0
        self.platformDelay = 0.0
        self.orderDelay = 0.0
        self.onCall = None  # called with the target of each accepted call for a promotion
        self.choosePorts()

    def choosePorts(self):
        everything = self.controlIps + self.frontIps + [self.cloudIp] + self.instanceIps
        for _ in range(200):
            ports = random.sample(range(20000, 32000), 7)
            try:
                for ip in everything:
                    for port in ports:
                        probe = socket.socket()
                        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                        probe.bind((ip, port))
                        probe.close()
                self.controlPort, self.internalPort, self.frontPort, self.readyPort, self.cloudPort, self.port, \
                    self.otherInternalPort = ports
                return
            except OSError:
                continue
        raise RuntimeError("no free ports")

    def note(self, text):
        self.record.write(f"{time.monotonic() - self.began:9.4f} {text}\n")

    def later(self, delay, call, *arguments):
        asyncio.get_running_loop().call_later(delay, call, *arguments)

    # A region that can be cut off. Its processes use another internal port than the others, and relays carry the bytes
    # between the two ports, so that the relays are the network between the region and the rest.

    def separateRegion(self, region):
        self.separated = region

    def isSeparated(self, zone):
        return self.separated is not None and self.zones[zone] == self.separated

    def zoneOf(self, who):
        """The zone of a process by the word that it connects with."""
        if who in self.controlZone:
            return self.controlZone[who]
        if who.startswith("front-"):
            return self.frontZones[int(who[6:]) - 1]
        return None

    def link(self, zone, other):
        """The link between two zones, if it can be cut."""
        return self.region if zone and other and self.isSeparated(zone) != self.isSeparated(other) else None

    async def startRelays(self):
        if self.separated is None:
            return
        for ip, zone in self.controlZone.items():
            inner, outer = self.internalPort, self.otherInternalPort
            if self.isSeparated(zone):
                inner, outer = outer, inner
            self.relays.append(await asyncio.start_server(self.relay(ip, inner), ip, outer))

    def relay(self, ip, port):
        async def carry(reader, writer):
            try:
                while True:
                    data = await reader.read(65536)
                    await self.region.open.wait()
                    if not data:
                        break
                    writer.write(data)
                    await writer.drain()
            except (ConnectionError, OSError):
                pass
            writer.close()

        async def accepted(reader, writer):
            try:
                await self.region.open.wait()
                there, back = await asyncio.open_connection(ip, port)
            except (ConnectionError, OSError):
                writer.close()
                return
            await asyncio.gather(carry(reader, back), carry(there, writer))

        return accepted

    def cutRegion(self):
        self.region.cut()
        self.note(f"region {self.separated} is cut off from the others")

    def healRegion(self):
        self.region.heal()
        self.note(f"region {self.separated} is reached again")
        for service in self.services:
            leader = service.leader()
            if leader is not None:
                leader.broadcast()

    def delay(self, a, b):
        if a.zone == b.zone:
            return 0.0002
        return 0.008

    def nearestControl(self, zone):
        return next(ip for ip, at in self.controlZone.items() if at == zone)

    # processes under test

    def fields(self, name, ip, zone, role, bootstrap):
        serves = {"listen": {"front": f"{ip}:{self.frontPort}", "ready": f"{ip}:{self.readyPort}"}
                  if role == "entry" else {"control": f"{ip}:{self.controlPort}"}}
        return {"nodeName": name, "ip": ip, "zone": zone, "region": self.zones[zone], "zones": self.zones,
                "internalPorts": [self.otherInternalPort if self.isSeparated(zone) else self.internalPort, 0],
                "bootstrap": bootstrap,
                "seeds": [f"{each}:{self.controlPort}" for each in self.controlIps], "heartbeatMs": 1200,
                "bounds": {"drainMs": 7000, "graceS": 6, "stableWindowMs": 4000, "fencingRequired": self.fenced},
                "faultTolerance": {"machines": 1}, "cloudApi": {"address": f"{self.cloudIp}:{self.cloudPort}"},
                "dataDir": os.path.join(self.temporary, name + "-data"), **serves}

    def spawn(self, name, ip, zone, role, bootstrap):
        with open(os.path.join(ROOT, "deploy", role + ".toml")) as template:
            settings = Template(template.read()).render(self.fields(name, ip, zone, role, bootstrap))
        path = os.path.join(self.temporary, name + ".toml")
        with open(path, "w") as file:
            file.write(settings)
        if role == "control":
            os.makedirs(os.path.join(self.temporary, name + "-data"), exist_ok=True)
        log = open(os.path.join(self.temporary, name + ".log"), "a")
        self.logs.append((name, log.name))
        program = os.path.join(ROOT, "target", "hyssoprock-pooler")
        self.processes[name] = subprocess.Popen([program, path], stdout=log, stderr=log, cwd=ROOT,
                                                preexec_fn=endWithParent)
        self.note(f"process {name} starts at {ip}")

    def kill(self, name, number=signal.SIGKILL):
        self.processes[name].send_signal(number)
        self.note(f"process {name} gets {signal.Signals(number).name}")

    async def start(self, services):
        """Starts everything, puts a configuration in force and waits until the primaries are in use."""
        self.cloud = await asyncio.start_server(self.platform, self.cloudIp, self.cloudPort)
        await self.startRelays()
        for n, ip in enumerate(self.controlIps):
            self.spawn(f"control-{n + 1}", ip, self.controlZone[ip], "control", True)
        for n, ip in enumerate(self.frontIps):
            self.spawn(f"front-{n + 1}", ip, self.frontZones[n], "entry", True)
        self.services = services
        for service in services:
            for instance in service.instances:
                await instance.start()
        await self.putConfiguration()

    def configuration(self):
        routes, kinds = [], ("primary", "read_own_writes", "bounded_staleness")
        for service in self.services:
            for kind in kinds:
                routes.append({"name": f"r-{service.name}-{kind}", "host": f"{service.name}-{kind}", "pathPrefix": "/",
                               "kind": kind, "timeoutMs": 800, "targetLatencyMs": 300, "priority": 1,
                               "service": service.name, "maxAttempts": 2, "maxStalenessMs": 2500})
        return {"version": self.version, "routes": routes,
                "services": [{"name": s.name, "healthPath": "/health", "maxConns": self.connectionsMax,
                              "protocol": "h1", "tls": False, "syncReplicas": s.synchronous} for s in self.services],
                "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000,
                           "idleTimeoutMs": 15000, "txIdleMs": 3000}}

    async def putConfiguration(self):
        self.version += 1
        body = json.dumps(self.configuration()).encode()
        for attempt in range(60):
            ip = self.controlIps[attempt % 3]
            try:
                status, _ = await http(ip, self.controlPort, "POST", f"{BASE}/config/put", body, 1.0)
                if status == 200:
                    self.note(f"{ip} acknowledges configuration {self.version}")
                    return
            except (OSError, asyncio.TimeoutError, ConnectionError, IndexError, ValueError):
                pass
            await asyncio.sleep(0.2)
        raise RuntimeError("the configuration is not accepted")

    def checkProcesses(self):
        return [name for name, process in self.processes.items() if process.poll() is not None]

    async def finish(self):
        for task in self.tasks:
            task.cancel()
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
        for process in self.processes.values():
            process.wait()
        for service in self.services:
            for instance in service.instances:
                if instance.running:
                    await instance.stop()
        self.record.flush()
        if os.environ.get("KEEP"):
            print("logs:", self.temporary)
        else:
            shutil.rmtree(self.temporary, ignore_errors=True)

    # the platform

    async def platform(self, reader, writer):
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            size = int(re.search(r"(?i)content-length: *(\d+)", head).group(1))
            body = json.loads(await reader.readexactly(size))
            token = int(re.search(r"(?i)" + TOKEN + r": *(\d+)", head).group(1))
            holder = re.search(r"(?i)duty" + r"-holder: *(\S+)", head).group(1)
            status = self.callPromote(body["service"], body["id"], token, holder)
            if self.platformDelay:
                await asyncio.sleep(self.platformDelay)
            writer.write(f"HTTP/1.1 {status} X\r\nContent-Length: 2\r\n\r\n{{}}".encode())
            await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    def callPromote(self, serviceName, name, token, holder):
        service = next((s for s in self.services if s.name == serviceName), None)
        target = None if service is None else next((i for i in service.instances if i.name == name), None)
        if self.fenced and token < self.tokens.get(serviceName, 0):
            status = 409
        elif target is None or not target.running:
            status = 409
        else:
            status = 200
            if not (target is service.leader()):
                self.later(self.promoteTime, self.execute, service, target)
                if self.onCall is not None:
                    self.onCall(target)
        self.tokens[serviceName] = max(self.tokens.get(serviceName, 0), token)
        self.note(f"platform: {holder} promotes {name} with token {token}: {status}")
        return status

    def execute(self, service, target):
        if target.running and target is not service.leader():
            target.promote(max(i.term for i in service.instances) + 1)

    # observations

    def promoted(self, instance):
        self.promotions.append((time.monotonic(), instance.service, instance, instance.term, list(instance.log)))
        self.note(f"promote takes effect: {instance.name} leads {instance.service.name} in term {instance.term} "
                  f"with {len(instance.log)} entries")

    def committed(self, instance, request, number):
        self.commits[request] = (time.monotonic(), instance, instance.term, number)
        self.note(f"commit {request} at {instance.name} as {instance.term}.{number}")

    def ran(self, instance, request, text):
        self.note(f"run {request} at {instance.name}: {text}")


def finish(main):
    """Runs a case and ends the process with its status, without waiting for open connections."""
    try:
        status = asyncio.new_event_loop().run_until_complete(main)
    except BaseException as error:  # the case could not run
        print(f"the case could not run: {error!r}")
        status = 2
    sys.stdout.flush()
    os._exit(status)


# ---------------------------------------------------------------- clients

PROMISES = ("BUSY", "ABORTED", "LAGGING", "READONLY", WRONG, "TOOMANY")


class Client:
    def __init__(self, world, number, front, database, seed):
        self.world, self.number, self.front, self.database = world, number, front, database
        self.random = random.Random(seed)
        self.requests = 0
        self.reader = self.writer = None
        self.commits = 0

    async def connect(self):
        self.reader, self.writer = await asyncio.open_connection(self.front, self.world.frontPort, limit=1 << 21)
        self.writer.write(f"STARTUP {self.database} u{self.number}\r\n".encode())
        line = (await asyncio.wait_for(self.reader.readuntil(b"\r\n"), 2.0)).decode()
        if not line.startswith("READY"):
            raise ConnectionError(line.strip())

    def close(self):
        if self.writer is not None:
            self.writer.close()
        self.writer = None

    async def query(self, text):
        """Returns the request's id, the rows, the signature or the error, and the state."""
        self.requests += 1
        request = f"c{self.number}q{self.requests}"
        self.writer.write(f"QUERY {request} {text}\r\n".encode())
        self.world.statements += 1
        rows, result = [], None
        while True:
            line = (await self.reader.readuntil(b"\r\n"))[:-2].decode()
            word, _, rest = line.partition(" ")
            if word == ROW:
                rows.append(rest)
            elif word == "READY":
                break
            else:
                result = (word, rest)
        now = time.monotonic()
        self.world.answers[request] = (now, text, result)
        if not text.startswith("READ"):
            self.world.note(f"answer to {request} ({text}): {result[0]} {result[1]}")
        return request, rows, result, rest.split(" ")[0]

    async def transaction(self, writes, pause):
        """Returns whether the commit was acknowledged."""
        for n in range(writes + 2):
            text = "BEGIN" if n == 0 else "COMMIT" if n > writes else f"WRITE k{self.number} v{self.requests}"
            _, _, result, state = await self.query(text)
            if result[0] != "COMPLETE":
                if state != "I":
                    await self.query("ROLLBACK")
                return False
            if n <= writes:
                await asyncio.sleep(pause * self.random.uniform(0.7, 1.3))
        self.commits += 1
        return True

    async def loop(self, operation):
        while True:
            try:
                if self.writer is None:
                    await self.connect()
                await operation(self)
            except (OSError, ConnectionError, asyncio.IncompleteReadError, asyncio.TimeoutError):
                self.close()
                await asyncio.sleep(0.2)
            await asyncio.sleep(self.random.uniform(0.02, 0.05))
