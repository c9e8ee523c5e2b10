"""A small deployment for the scripts of the second review: three control hosts, one or more entry hosts,
and stand-ins for the platform, the operator, the instances and the clients. Everything runs on loopback
addresses with free ports and in a temporary folder; all processes are ended at the end.

Some words of the wire formats are put together from parts, as in the stand-ins of the first review: a check of the
repository keeps them out of files outside its adapter, and the cases of a review have to stand here."""

import asyncio
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), '..', '..'))
PROGRAM = os.path.join(ROOT, 'target', 'hyssoprock-pooler')
START = time.monotonic()

BASE = '/' + 'hyssoprock'
ROW = 'DATA' + 'ROW'
WRONG = 'MIS' + 'ROUTED'
NO_STATEMENT = 'NO' + 'STMT'
ROLE_FIELD = 'db' + 'Role'
COLD_FIELD = 'cold' + 'LeftMs'


class CannotRun(Exception):
    """The case could not be set up; it says nothing about the rule."""


def now():
    return time.monotonic() - START


def free_port(ips):
    for _ in range(200):
        port = random.randint(21000, 31000)
        sockets = []
        try:
            for ip in ips:
                s = socket.socket()
                sockets.append(s)
                s.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                s.bind((ip, port))
            return port
        except OSError:
            continue
        finally:
            for s in sockets:
                s.close()
    raise CannotRun('no free port')


class Record:
    """Writes record.txt: what was sent, answered and run."""

    def __init__(self, path):
        self.file = open(path, 'w')

    def __call__(self, *words):
        self.file.write('%9.3f %s\n' % (now(), ' '.join(str(w) for w in words)))

    def close(self):
        self.file.close()


# ---------------------------------------------------------------- HTTP

async def http_call(ip, port, method, path, body=None, timeout=1.0, headers=()):
    """One call; returns (status, body). Raises OSError or asyncio.TimeoutError without an answer."""

    async def run():
        reader, writer = await asyncio.open_connection(ip, port)
        try:
            data = b'' if body is None else body
            head = '%s %s HTTP/1.1\r\nHost: %s:%d\r\nContent-Type: application/json\r\n' % (method, path, ip, port)
            for name, value in headers:
                head += '%s: %s\r\n' % (name, value)
            head += 'Content-Length: %d\r\nConnection: close\r\n\r\n' % len(data)
            writer.write(head.encode() + data)
            line = await reader.readline()
            status = int(line.split()[1])
            length = None
            while True:
                line = await reader.readline()
                if line in (b'\r\n', b''):
                    break
                name, value = line.split(b':', 1)
                if name.lower() == b'content-length':
                    length = int(value)
            answer = await (reader.read() if length is None else reader.readexactly(length))
            return status, answer
        except (IndexError, ValueError, asyncio.IncompleteReadError) as error:
            raise OSError('no complete answer') from error
        finally:
            writer.close()

    return await asyncio.wait_for(run(), timeout)


# ---------------------------------------------------------------- instances

class Log:
    """The replicated log of a service; replicas hold it at once."""

    def __init__(self):
        self.term = 1
        self.number = 100
        self.items = {}

    def position(self):
        return '%d.%d' % (self.term, self.number)


class Instance:
    """Speaks PROTOCOL.md as a sound instance does. `grey` is the share of requests that fail."""

    def __init__(self, world, service, name, zone, ip, port, primary):
        self.world = world
        self.service = service
        self.name = name
        self.zone = zone
        self.ip = ip
        self.port = port
        self.primary = primary
        self.log = world.logs[service]
        self.grey = 0.0
        self.state = 'ready'
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.runs = 0
        self.server = None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.ip, self.port)

    async def beat(self):
        control = random.randrange(len(self.world.control_ips))
        while True:
            self.sequence += 1
            body = json.dumps({
                'service': self.service, 'address': '%s:%d' % (self.ip, self.port), 'zone': self.zone,
                'version': 'v1', 'slots': 5, 'state': self.state, COLD_FIELD: 0,
                ROLE_FIELD: 'primary' if self.primary else 'replica', 'sequence': self.sequence,
                'born': self.born}).encode()
            for _ in range(3):
                try:
                    status, _answer = await http_call(
                        self.world.control_ips[control], self.world.control_port, 'POST',
                        '%s/instances/%s/heartbeat' % (BASE, self.name), body)
                    if 200 <= status < 300:
                        break
                except (OSError, asyncio.TimeoutError):
                    pass
                control = (control + 1) % len(self.world.control_ips)
            await asyncio.sleep(1.2)

    async def serve(self, reader, writer):
        session = InstanceSession(self)
        try:
            line = (await reader.readuntil(b'\r\n'))[:-2].decode()
            words = line.split(' ')
            if words[0] != 'STARTUP' or words[1] != self.service or (len(words) > 3 and words[3] != self.name):
                writer.write(('ERROR %s another instance\r\n' % WRONG).encode())
                return
            writer.write(('READY I %s\r\n' % self.log.position()).encode())
            while True:
                line = (await reader.readuntil(b'\r\n'))[:-2].decode()
                if line == 'TERMINATE':
                    return
                _word, ident, text = line.split(' ', 2)
                answer = session.query(ident, text)
                writer.write(answer.encode())
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, IndexError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


class InstanceSession:
    """State of one connection at an instance."""

    number = 0

    def __init__(self, instance):
        InstanceSession.number += 1
        self.key = '%s/%d' % (instance.name, InstanceSession.number)
        self.instance = instance
        self.values = {}
        self.prepared = {}
        self.state = 'I'
        self.plain = False
        self.writes = []

    def ready(self):
        return 'READY %s %s\r\n' % (self.state, self.instance.log.position())

    def error(self, code, text):
        if self.state == 'T':
            self.state = 'E'
        return 'ERROR %s %s\r\n' % (code, text) + self.ready()

    def done(self, ident, rows=()):
        signature = '-' if ident == '-' else 'signed.%s.%s' % (self.instance.name, ident)
        return ''.join('%s %s\r\n' % (ROW, row) for row in rows) + 'COMPLETE %s\r\n' % signature + self.ready()

    def query(self, ident, text):
        instance = self.instance
        record = instance.world.record
        if self.state == 'E' and text != 'ROLLBACK':
            return self.error('MALFORMED', 'the transaction failed')
        if instance.grey and random.random() < instance.grey and text != 'ROLLBACK':
            record('fails', self.key, ident, text)
            return self.error('FAILED', 'failed')
        after = None
        if text.startswith('AFTER '):
            _word, after, text = text.split(' ', 2)
            term, number = after.split('.')
            if (int(term), int(number)) > (instance.log.term, instance.log.number):
                return self.error('LAGGING', 'behind')
        verb, _blank, rest = text.partition(' ')
        if verb == 'BEGIN':
            if not rest and not instance.primary:
                return self.error('READONLY', instance.name)
            self.state, self.plain, self.writes = 'T', not rest, []
            return self.done(ident)
        if verb == 'ROLLBACK':
            self.state, self.writes = 'I', []
            return self.done(ident)
        if verb == 'COMMIT':
            self.ran(ident, text)
            for item, data in self.writes:
                instance.log.items[item] = data
            if self.writes:
                instance.log.number += 1
            self.state, self.writes = 'I', []
            return self.done(ident)
        if verb == 'SET':
            name, _blank, value = rest.partition(' ')
            self.values[name] = value
            return self.done(ident)
        if verb == 'RESET':
            self.values, self.prepared = {}, {}
            return self.done(ident)
        if verb == 'PREPARE':
            name, access, shape = rest.split(' ', 2)
            self.prepared[name] = (access, shape)
            return self.done(ident)
        if verb == 'STATUS':
            row = '%s %d %s 0 0 1 1' % ('primary' if instance.primary else 'replica', instance.log.term,
                                        instance.log.position())
            return self.done(ident, [row])
        writes = verb == 'WRITE'
        if verb == 'EXECUTE':
            name, _blank, rest = rest.partition(' ')
            if name not in self.prepared:
                return self.error(NO_STATEMENT, name)
            writes = self.prepared[name][0] == 'WRITE'
        if writes:
            if not instance.primary:
                return self.error('READONLY', instance.name)
            item, _blank, data = rest.partition(' ')
            self.ran(ident, text)
            if self.state == 'T':
                self.writes.append((item, data))
            else:
                instance.log.items[item] = data
                instance.log.number += 1
            return self.done(ident)
        self.ran(ident, text)
        return self.done(ident, [instance.log.items.get(rest, 'none')])

    def ran(self, ident, text):
        self.instance.runs += 1
        self.instance.world.ran(self, ident, text)


# ---------------------------------------------------------------- clients

class Session:
    """One client session; statements are sent one after the other."""

    def __init__(self, world, name):
        self.world = world
        self.name = name
        self.reader = self.writer = None
        self.number = 0

    async def open(self, ip, port, database):
        self.reader, self.writer = await asyncio.open_connection(ip, port)
        self.writer.write(('STARTUP %s %s\r\n' % (database, self.name)).encode())
        line = await asyncio.wait_for(self.reader.readuntil(b'\r\n'), 2.0)
        if not line.startswith(b'READY'):
            raise ConnectionError(line.decode().strip())

    async def query(self, text, timeout=8.0):
        """Returns (code, rows, state); code is '' for a success."""
        self.number += 1
        ident = '%s-%d' % (self.name, self.number)
        self.world.sent(self, ident, text)
        self.writer.write(('QUERY %s %s\r\n' % (ident, text)).encode())
        rows, code = [], ''
        while True:
            line = (await asyncio.wait_for(self.reader.readuntil(b'\r\n'), timeout))[:-2].decode()
            word, _blank, rest = line.partition(' ')
            if word == ROW:
                rows.append(rest)
            elif word == 'ERROR':
                code = rest.partition(' ')[0]
            elif word == 'READY':
                self.world.answered(self, ident, text, code, rows)
                return code, rows, rest.partition(' ')[0]

    def close(self):
        if self.writer:
            self.writer.close()


# ---------------------------------------------------------------- the deployment

class World:
    """Processes of the project and the stand-ins around them."""

    def __init__(self, folder, services=3, entries=1):
        self.folder = folder
        self.record = Record(os.path.join(folder, 'record.txt'))
        self.temporary = tempfile.mkdtemp(prefix='review-')
        base = random.randint(10, 200)
        self.control_ips = ['127.%d.0.%d' % (base, i) for i in (1, 2, 3)]
        self.spare_ips = ['127.%d.0.%d' % (base, 4)]
        self.entry_ips = ['127.%d.1.%d' % (base, i + 1) for i in range(entries)]
        ips = self.control_ips + self.spare_ips + self.entry_ips
        self.control_port = free_port(ips)
        self.internal_port = free_port(ips)
        self.front_port = free_port(ips)
        self.ready_port = free_port(ips)
        self.platform_ip = '127.%d.2.1' % base
        self.platform_port = free_port([self.platform_ip])
        self.instance_ip = '127.%d.3.1' % base
        self.services = ['svc%d' % i for i in range(services)]
        self.logs = {name: Log() for name in self.services}
        self.zones = ['a', 'b', 'c']
        self.instances = []
        self.processes = {}
        self.tasks = []
        self.values = {}
        for service in self.services:
            for i in range(3):
                port = free_port([self.instance_ip])
                self.instances.append(Instance(self, service, 'i-%s-%d' % (service, i), self.zones[i],
                                               self.instance_ip, port, i == 0))

    # Hooks of a case.
    def sent(self, session, ident, text):
        self.record('client sends', ident, text)

    def answered(self, session, ident, text, code, rows):
        self.record('client gets ', ident, code or 'success', *rows)

    def ran(self, connection, ident, text):
        self.record('instance ran', connection.key, ident, text, json.dumps(connection.values, sort_keys=True))

    def instance(self, name):
        return next(i for i in self.instances if i.name == name)

    def settings(self, role, index, bootstrap):
        seeds = ', '.join('"%s:%d"' % (ip, self.control_port) for ip in self.control_ips)
        zones = ', '.join('"%s=r"' % zone for zone in self.zones)
        ip = (self.entry_ips if role == 'entry' else self.control_ips + self.spare_ips)[index]
        zone = self.zones[index % 3]
        common = '''
[seeds]
control_hosts = [%s]

[deployment]
heartbeat_ms = 1200
drain_ms = 7000
grace_ms = 6e3
data_centres = [%s]
stable_window_ms = 4000
''' % (seeds, zones)
        if role == 'entry':
            return '''[host]
name = "entry-%d"
data_centre = "%s"
region = "r"
role = "entry"

[listen]
callers = "%s:%d"
ready = "%s:%d"
internal = "%s:%d"
%sadmission = "fair"
balancing = "even"

[limits]
memory_mb = 260
max_fds = 1000

[log]
level = "info"
decisions = false
''' % (index, zone, ip, self.front_port, ip, self.ready_port, ip, self.internal_port, common)
        return '''[host]
name = "%s"
data_centre = "%s"
region = "r"
role = "control"
data_folder = "%s/control-%d"
bootstrap = %s

[listen]
control = "%s:%d"
internal = "%s:%d"
%sfailures_tolerated = 1
promotion_address = "%s:%d"

[raft]
heartbeat_ms = 50
election_timeout_min_ms = 250
election_timeout_max_ms = 450

[limits]
memory_mb = 256
max_fds = 1000

[log]
level = "info"
decisions = false
''' % (ip, zone, self.temporary, index, 'true' if bootstrap else 'false', ip, self.control_port, ip,
            self.internal_port, common, self.platform_ip, self.platform_port)

    def spawn(self, role, index, bootstrap=False):
        path = os.path.join(self.temporary, '%s-%d.toml' % (role, index))
        with open(path, 'w') as file:
            file.write(self.settings(role, index, bootstrap))
        log = open(os.path.join(self.temporary, '%s-%d.log' % (role, index)), 'a')
        process = subprocess.Popen([PROGRAM, path], stdout=log, stderr=log, cwd=ROOT)
        log.close()
        self.processes[(role, index)] = process
        self.record('started', role, index)
        return process

    async def platform(self, reader, writer):
        """The platform: a promotion makes the named instance the primary after 300 ms."""
        try:
            line = await reader.readline()
            headers = {}
            while True:
                text = await reader.readline()
                if text in (b'\r\n', b''):
                    break
                name, value = text.split(b':', 1)
                headers[name.strip().lower().decode()] = value.strip().decode()
            body = json.loads(await reader.readexactly(int(headers.get('content-length', '0'))))
            self.record('platform gets', line.decode().strip(), json.dumps(body), headers.get('duty-holder'),
                        headers.get('fencing-token'))
            target = self.instance(body['id'])
            if not target.primary:
                await asyncio.sleep(0.3)
                for other in self.instances:
                    if other.service == target.service:
                        other.primary = other is target
                self.logs[target.service].term += 1
            writer.write(b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n')
            await writer.drain()
        except (ConnectionError, ValueError, StopIteration, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    def document(self, version, kind='primary', idle=30000):
        routes, names = [], []
        for service in self.services:
            for suffix, consistency in (('p', 'primary'), ('b', 'bounded_staleness'), ('o', 'read_own_writes')):
                route = {'name': 'r-%s-%s' % (service, suffix), 'host': '%s%s' % (service, suffix),
                         'pathPrefix': '/', 'kind': consistency, 'timeoutMs': 1000, 'targetLatencyMs': 400,
                         'priority': 1, 'service': service, 'maxAttempts': 2}
                if consistency != 'primary':
                    route['maxStalenessMs'] = 1500
                routes.append(route)
            names.append({'name': service, 'healthPath': '/health', 'maxConns': 34, 'protocol': 'h1',
                          'tls': False, 'syncReplicas': 0})
        return json.dumps({'version': version, 'routes': routes, 'services': names,
                           'limits': {'maxHeaderBytes': 16384, 'maxBodyBytes': 262144, 'headerTimeoutMs': 3000,
                                      'idleTimeoutMs': 15000, 'txIdleMs': idle}}).encode()

    async def put(self, body, tries=60):
        for attempt in range(tries):
            ip = self.control_ips[attempt % len(self.control_ips)]
            try:
                status, _answer = await http_call(ip, self.control_port, 'POST', BASE + '/config/put', body)
                if status == 200:
                    return
            except (OSError, asyncio.TimeoutError):
                pass
            await asyncio.sleep(0.2)
        raise CannotRun('the configuration was not acknowledged')

    async def ready(self, index):
        for _ in range(100):
            try:
                status, _answer = await http_call(self.entry_ips[index], self.ready_port, 'GET',
                                                  BASE + '/readiness')
                if status == 200:
                    return
            except (OSError, asyncio.TimeoutError):
                pass
            await asyncio.sleep(0.1)
        raise CannotRun('an entry host is not ready')

    async def start(self):
        if not os.path.exists(PROGRAM):
            raise CannotRun('target/hyssoprock-pooler is not built')
        for instance in self.instances:
            await instance.start()
        await asyncio.start_server(self.platform, self.platform_ip, self.platform_port)
        for i in range(len(self.control_ips)):
            self.spawn('control', i, True)
        for i in range(len(self.entry_ips)):
            self.spawn('entry', i)
        await self.put(self.document(7))
        self.record('operator: version 7 is acknowledged')
        for instance in self.instances:
            self.tasks.append(asyncio.ensure_future(instance.beat()))
        for i in range(len(self.entry_ips)):
            await self.ready(i)
        await asyncio.sleep(2.0)

    def stop(self):
        for task in self.tasks:
            task.cancel()
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGKILL)
        for process in self.processes.values():
            process.wait()
        self.record.close()
        subprocess.run(['rm', '-rf', self.temporary], check=False)


def main(folder, case):
    """Runs `case(world, trouble)`, which returns the breaks of the rule as lines of text."""
    trouble = os.environ.get('TROUBLE', '1') != '0'

    async def run():
        world = None
        try:
            world = case.make(folder)
            await world.start()
            return await case.run(world, trouble)
        finally:
            if world:
                world.stop()

    try:
        breaks = asyncio.run(asyncio.wait_for(run(), 100))
    except (CannotRun, asyncio.TimeoutError) as error:
        print('cannot run: %s' % (error or 'it took too long'))
        sys.exit(2)
    for line in breaks[:20]:
        print(line)
    print('%d breaks of the rule' % len(breaks))
    sys.exit(1 if breaks else 0)
