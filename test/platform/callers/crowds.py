#!/usr/bin/env python3
"""Crowds of misbehaving callers against real processes on loopback addresses.

usage: crowds.py POOLER CROWD [--without-limits]

Guards against callers that end a process or exhaust its memory or descriptors. Checks only that the process lives, that
its peak resident memory and its open descriptors stay under the crowd's bounds, and that one ordinary request is
answered afterwards. --without-limits leaves out the section [limits], for programs that do not know it.
"""
import http.client, json, os, resource, selectors, socket, subprocess, sys, tempfile, threading, time

MEMORY_MB = 48  # limits.memory_mb of the processes under test, and the bound on their peak resident memory
MAX_FDS = 160   # limits.max_fds of the processes under test, and the bound on their open descriptors
ROW = "r" * 65536


def free_port():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


class Endpoint:
    """Stand-in for the only endpoint of a service: line protocol, and heartbeats to the control host."""

    def __init__(self, control_port):
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=128)
        self.port, self.control_port = self.listener.getsockname()[1], control_port
        threading.Thread(target=self.accept, daemon=True).start()
        threading.Thread(target=self.heartbeat, daemon=True).start()

    def accept(self):
        while True:
            connection, _ = self.listener.accept()
            threading.Thread(target=self.serve, args=(connection,), daemon=True).start()

    def serve(self, connection):
        index = 0
        try:
            for line in connection.makefile("rb"):
                words = line.rstrip(b"\r\n").split(b" ", 3)
                if words[0] == b"STARTUP":
                    answer = "READY I 1.1\r\n"
                elif words[0] != b"QUERY":
                    return
                else:
                    index += 1
                    rows = ""
                    if b"STATUS" in words[2:3]:
                        rows = "DATAROW primary 1 1.1 0 0 1 1\r\n"
                    elif b"READ" in words[2:3] and b"big" in line:
                        rows = f"DATAROW {ROW}\r\n" * (32 if b"bigger" in line else 1)
                    answer = rows + f"COMPLETE s{index}\r\nREADY I 1.1\r\n"
                connection.sendall(answer.encode())
        except OSError:
            pass

    def heartbeat(self):
        sequence, born = 0, int(time.time() * 1000)
        while True:
            sequence += 1
            body = json.dumps({"service": "s", "address": f"127.0.0.1:{self.port}", "zone": "z", "version": "v1",
                               "slots": 4, "state": "ready", "coldLeftMs": 0, "dbRole": "primary",
                               "sequence": sequence, "born": born})
            try:
                request(self.control_port, "POST", "/hyssoprock/instances/i-1/heartbeat", body)
            except OSError:
                pass
            time.sleep(0.3)


def request(port, method, path, body=None):
    """Status of one HTTP request."""
    client = http.client.HTTPConnection("127.0.0.1", port, timeout=3)
    try:
        client.request(method, path, body)
        return client.getresponse().status
    except http.client.HTTPException as error:
        raise OSError(str(error)) from error
    finally:
        client.close()


def query(port, text):
    """Whether a new caller's statement succeeds."""
    with socket.create_connection(("127.0.0.1", port), timeout=5) as caller:
        lines = caller.makefile("rb")
        caller.sendall(b"STARTUP db key\r\n")
        if not lines.readline().startswith(b"READY"):
            return False
        caller.sendall(b"QUERY 1 " + text + b"\r\n")
        return lines.readline().startswith((b"COMPLETE", b"DATAROW"))


def until(what, condition):
    """Waits for a state; the time limit of ctest ends a wait without end."""
    for _ in range(400):
        try:
            if condition():
                return
        except OSError:
            pass
        time.sleep(0.1)
    sys.exit("FAILED: " + what)


class System:
    """One control host, one entry host and one endpoint."""

    def __init__(self, pooler, folder, with_limits):
        self.control_port, self.internal, self.callers, self.ready = (free_port() for _ in range(4))
        limits = f"[limits]\nmemory_mb = {MEMORY_MB}\nmax_fds = {MAX_FDS}\n" if with_limits else ""
        common = (f'[seeds]\ncontrol_hosts = ["127.0.0.1:{self.control_port}"]\n'
                  f'[deployment]\nheartbeat_ms = 300\ndata_centres = ["z=r"]\n')
        host = '[host]\nname = "{}"\ndata_centre = "z"\nregion = "r"\nrole = "{}"\n'
        self.processes = {}
        for role, text in {
            "control": host.format("127.0.0.1", "control") + f'data_folder = "{folder}/data"\nbootstrap = true\n'
                       f'[listen]\ncontrol = "127.0.0.1:{self.control_port}"\ninternal = "127.0.0.1:{self.internal}"\n'
                       + common + f'promotion_address = "127.0.0.1:{free_port()}"\n' + limits,
            "entry": host.format("entry-1", "entry")
                     + f'[listen]\ncallers = "127.0.0.1:{self.callers}"\nready = "127.0.0.1:{self.ready}"\n'
                       f'internal = "127.0.0.1:{self.internal}"\n' + common + limits,
        }.items():
            path = f"{folder}/{role}.toml"
            with open(path, "w", encoding="ascii") as settings:
                settings.write(text)
            self.processes[role] = subprocess.Popen([pooler, path], stdout=subprocess.DEVNULL,
                                                    stderr=open(f"{folder}/{role}.log", "w"))
        self.endpoint = Endpoint(self.control_port)
        until("the document is accepted", lambda: self.put(1) == 200)
        until("a first statement is answered", lambda: query(self.callers, b"WRITE a 1"))

    def put(self, version):
        return request(self.control_port, "POST", "/hyssoprock/config/put", json.dumps({
            "version": version, "routes": [{
                "name": "r", "host": "db", "pathPrefix": "/", "kind": "primary", "timeoutMs": 3000,
                "targetLatencyMs": 800, "priority": 0, "service": "s", "maxAttempts": 2, "maxStalenessMs": 0}],
            "services": [{"name": "s", "healthPath": "/", "maxConns": 12, "protocol": "h1", "tls": False,
                          "syncReplicas": 0}],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000,
                       "idleTimeoutMs": 15000, "txIdleMs": 3000}}))

    def figures(self, role):
        """Peak resident memory in MB and the number of open descriptors."""
        if self.processes[role].poll() is not None:
            sys.exit(f"FAILED: the {role} process has ended")
        proc = f"/proc/{self.processes[role].pid}"
        with open(proc + "/status", encoding="ascii") as status:
            peak = next(int(line.split()[1]) for line in status if line.startswith("VmHWM:"))
        return peak / 1024, len(os.listdir(proc + "/fd"))


def send_all(port, payloads, read=False, piece=262144):
    """Sends one payload on each of many connections, until all are sent, refused or stalled."""
    selector, open_sockets = selectors.DefaultSelector(), []
    for payload in payloads:
        caller = socket.create_connection(("127.0.0.1", port), timeout=5)
        caller.setblocking(False)
        open_sockets.append(caller)
        selector.register(caller, selectors.EVENT_READ | selectors.EVENT_WRITE if read else selectors.EVENT_WRITE,
                          [memoryview(payload)])
    idle = 0
    while selector.get_map() and idle < 10:  # a second without any progress: all are stalled
        ready = selector.select(0.1)
        idle = 0 if ready else idle + 1
        for key, mask in ready:
            caller, rest = key.fileobj, key.data
            try:
                if mask & selectors.EVENT_READ and not caller.recv(1 << 16):
                    raise ConnectionError
                if mask & selectors.EVENT_WRITE and rest[0]:
                    rest[0] = rest[0][caller.send(rest[0][:piece]):]
            except BlockingIOError:
                continue
            except OSError:
                selector.unregister(caller)
                continue
            if not rest[0]:
                if read:
                    selector.modify(caller, selectors.EVENT_READ, rest)
                else:
                    selector.unregister(caller)
    return open_sockets


START = b"STARTUP db key\r\n"
MIB = 1 << 20


def lines(count, form):
    return START + b"".join(b"QUERY %d " % i + form(i) + b"\r\n" for i in range(count))


def frame(length, body):
    return length.to_bytes(4, "big") + b"\0\1\0\1" + bytes(8) + body


def http_request(length, body):
    return b"POST /hyssoprock/config/put HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n" % length + body


write = START + b"QUERY 1 WRITE a " + b"w" * (MIB - 64) + b"\r\n"
prepares = lambda i: b"PREPARE n%d READ " % i + b"p" * 900
variables = lambda i: b"SET v%d " % i + b"v" * 900
# name: (process, port, payload of each connection, number of connections, arguments of send_all)
CROWDS = {
    "partial_messages": ("entry", "callers", START + b"QUERY 1 WRITE a " + b"w" * 1000000, 60, {}),
    "whole_messages": ("entry", "callers", write, 60, {"piece": 2 * MIB}),
    "small_pieces": ("entry", "callers", write, 60, {"piece": 4096}),
    "oversized_messages": ("entry", "callers", START + b"QUERY 1 WRITE a " + b"w" * 4 * MIB, 60, {}),
    "prepared_names": ("entry", "callers", lines(1500, prepares), 40, {"read": True}),
    "session_variables": ("entry", "callers", lines(1500, variables), 40, {"read": True}),
    "pipelined_writes": ("entry", "callers", lines(8, lambda i: b"WRITE a " + b"w" * 500000), 60, {}),
    "pipelined_reads": ("entry", "callers", lines(200, lambda i: b"READ big"), 60, {}),
    "slow_readers": ("entry", "callers", lines(1, lambda i: b"READ bigger"), 60, {}),
    "endless_startup": ("entry", "callers", b"STARTUP db " + b"s" * 1000000, 60, {}),
    "entry_connections": ("entry", "callers", START, 300, {}),
    "half_bodies": ("control", "control_port", http_request(4000000, b"{" + b" " * 2000000), 60, {}),
    "endless_headers": ("control", "control_port", b"GET / HTTP/1.1\r\n" + b"A: b\r\n" * 2500, 60, {}),
    "control_connections": ("control", "control_port", b"GET ", 300, {}),
    "partial_frames": ("control", "internal", frame(32 * MIB, b"f" * 2 * MIB), 60, {}),
    "internal_connections": ("control", "internal", frame(100, b"f"), 300, {}),
}


def main():
    pooler, name = sys.argv[1:3]
    role, port, payload, count, arguments = CROWDS[name]
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (min(hard, 2048), hard))
    with tempfile.TemporaryDirectory() as folder:
        system = System(pooler, folder, "--without-limits" not in sys.argv)
        try:
            before = system.figures(role)
            crowd = send_all(getattr(system, port), [payload] * count, **arguments)
            time.sleep(1)
            peak, descriptors = system.figures(role)
            print(f"{name}: {role}, peak {before[0]:.1f} -> {peak:.1f} MB, descriptors {descriptors}", flush=True)
            if role == "entry":
                until("readiness is answered amid the crowd",
                      lambda: request(system.ready, "GET", "/hyssoprock/readiness") == 200)
            for caller in crowd:
                caller.close()
            until("an ordinary statement is answered", lambda: query(system.callers, b"WRITE a 1"))
            until("an ordinary document is accepted", lambda: system.put(2) == 200)
            until("a message of 1 MiB is served", lambda: query(system.callers, write[len(START) + 8:-2]))
            peak = system.figures(role)[0]
            if peak > MEMORY_MB or descriptors > MAX_FDS:
                sys.exit(f"FAILED: peak {peak:.1f} MB of {MEMORY_MB}, descriptors {descriptors} of {MAX_FDS}")
        finally:
            for process in system.processes.values():
                process.kill()
                process.wait()
            if os.environ.get("CROWD_LOGS"):
                for role in system.processes:
                    with open(f"{folder}/{role}.log", encoding="utf-8") as log:
                        print(role, log.read()[-3000:])


if __name__ == "__main__":
    main()
