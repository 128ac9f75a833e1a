"""Stand-ins for the platform around ebonyfork-gateway: store, servers, consumers, a link, and the processes.

Written from the published pages (SYSTEM, PROTOCOL, DEPLOY) with the standard library only. Everything runs on loopback
addresses and ends with `World.close`.
"""

import asyncio
import base64
import json
import os
import random
import resource
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.parse

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
PROGRAM = os.path.join(ROOT, "target", "release", "ebonyfork-gateway")


def now():
    return time.monotonic()


# ---------------------------------------------------------------------------------------------------------------------
# HTTP/1.1 on asyncio streams

class Head:
    def __init__(self, first, headers):
        self.first = first
        self.headers = headers

    def get(self, name, default=None):
        for key, value in self.headers:
            if key == name:
                return value
        return default


async def read_head(reader, raises=False):
    """Reads a message head; returns None at the end of the connection. A reset counts as an end unless `raises`."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except ConnectionError:
        if raises:
            raise
        return None
    except (asyncio.IncompleteReadError, asyncio.LimitOverrunError):
        return None
    lines = raw.decode("latin-1").split("\r\n")
    headers = []
    for line in lines[1:]:
        if line:
            name, value = line.split(":", 1)
            headers.append((name.strip().lower(), value.strip()))
    return Head(lines[0], headers)


async def read_chunks(reader):
    body = b""
    while True:
        size = int((await reader.readline()).split(b";")[0], 16)
        if size == 0:
            while (await reader.readline()) not in (b"\r\n", b""):
                pass
            return body
        body += await reader.readexactly(size)
        await reader.readexactly(2)


async def read_body(reader, head):
    if (head.get("transfer-encoding") or "").lower() == "chunked":
        return await read_chunks(reader)
    length = int(head.get("content-length") or 0)
    return await reader.readexactly(length) if length else b""


def message(first, headers, body=b""):
    lines = [first] + [f"{name}: {value}" for name, value in headers]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def set_nodelay(writer):
    sock = writer.get_extra_info("socket")
    if sock is not None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


# ---------------------------------------------------------------------------------------------------------------------
# The platform's store

class Store:
    """The key-value store of the pages: revisions, watches, conditions, leases."""

    def __init__(self):
        self.revision = 10
        self.items = {}
        self.history = []
        self.leases = {}
        self.next_lease = 100
        self.changed = asyncio.Condition()
        self.tasks = set()
        self.server = None
        self.address = None
        self.calls = 0

    async def start(self, address):
        self.server = await asyncio.start_server(self._serve, address[0], address[1])
        self.address = self.server.sockets[0].getsockname()
        self.lapse_task = asyncio.create_task(self._lapse())

    async def _lapse(self):
        while True:
            await asyncio.sleep(0.05)
            time_now = now()
            for lease, (_ttl, until) in list(self.leases.items()):
                if until <= time_now:
                    await self._end_lease(lease)

    async def _end_lease(self, lease):
        self.leases.pop(lease, None)
        for key, item in list(self.items.items()):
            if item["lease"] == lease:
                await self.remove(key)

    async def _notify(self):
        async with self.changed:
            self.changed.notify_all()

    async def put(self, key, value, lease=0):
        if isinstance(value, (dict, list)):
            value = json.dumps(value).encode()
        return await self._put64(key, base64.b64encode(value).decode(), lease)

    async def _put64(self, key, value, lease):
        self.revision += 1
        created = self.items[key]["created"] if key in self.items else self.revision
        item = {"key": key, "value": value, "revision": self.revision, "created": created, "lease": lease}
        self.items[key] = item
        self.history.append((self.revision, key, item))
        await self._notify()
        return self.revision

    async def remove(self, key):
        if key not in self.items:
            return
        del self.items[key]
        self.revision += 1
        self.history.append((self.revision, key, {"key": key, "revision": self.revision, "tombstone": True}))
        await self._notify()

    async def _serve(self, reader, writer):
        set_nodelay(writer)
        task = asyncio.current_task()
        self.tasks.add(task)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                body = await read_body(reader, head)
                self.calls += 1
                method, target, _version = head.first.split(" ")
                status, answer = await self._call(method, target, body)
                reason = {200: "OK", 404: "Not Found", 412: "Precondition Failed", 410: "Gone"}.get(status, "X")
                raw = json.dumps(answer).encode() if answer is not None else b""
                writer.write(message(f"HTTP/1.1 {status} {reason}", [("Content-Type", "application/json")], raw))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            return
        finally:
            self.tasks.discard(task)
            writer.close()

    async def _call(self, method, target, body):
        path, _, query = target.partition("?")
        query = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
        if method == "GET" and path == "/v1/kv-key":
            item = self.items.get(query["key"])
            return (200, dict(item, storeRevision=self.revision)) if item else (404, None)
        if method == "GET" and path == "/v1/kv-range":
            prefix, after = query.get("prefix", ""), query.get("after")
            keys = sorted(k for k in self.items if k.startswith(prefix) and (after is None or k > after))
            page = [self.items[k] for k in keys[:500]]
            return 200, {"items": page, "hasMore": len(keys) > 500, "storeRevision": self.revision}
        if method == "GET" and path == "/v1/kv-watch":
            prefix, after = query.get("prefix", ""), int(query["after"])
            until = now() + min(int(query.get("waitMs", "0")), 30_000) / 1000
            while True:
                events = [event for revision, key, event in self.history
                          if revision > after and key.startswith(prefix)]
                left = until - now()
                if events or left <= 0:
                    return 200, {"events": events, "storeRevision": self.revision}
                async with self.changed:
                    try:
                        await asyncio.wait_for(self.changed.wait(), left)
                    except asyncio.TimeoutError:
                        pass
        if method == "POST" and path == "/v1/kv-txn":
            call = json.loads(body)
            for put in call.get("puts", []):
                if put.get("lease") and put["lease"] not in self.leases:
                    return 404, None
            rows = call.get("expectedRev", [])
            current = lambda row: self.items[row["key"]]["revision"] if row["key"] in self.items else 0
            if any(current(row) != row["revision"] for row in rows):
                return 412, {"items": [self.items[row["key"]] for row in rows if row["key"] in self.items]}
            for put in call.get("puts", []):
                await self._put64(put["key"], put["value"], put.get("lease") or 0)
            for key in call.get("remove", []):
                await self.remove(key)
            return 200, {"revision": self.revision}
        if method == "POST" and path == "/v1/kv-lease":
            ttl = json.loads(body)["ttlMs"] / 1000
            self.next_lease += 1
            self.leases[self.next_lease] = (ttl, now() + ttl)
            return 200, {"lease": self.next_lease, "ttlMs": int(ttl * 1000)}
        if method == "POST" and path.startswith("/v1/kv-keep/"):
            lease = int(path.rsplit("/", 1)[1])
            if lease not in self.leases:
                return 404, None
            ttl = self.leases[lease][0]
            self.leases[lease] = (ttl, now() + ttl)
            return 200, {}
        if method == "DELETE" and path.startswith("/v1/kv-lease-end/"):
            lease = int(path.rsplit("/", 1)[1])
            if lease not in self.leases:
                return 404, None
            await self._end_lease(lease)
            return 200, {}
        return 404, None


# ---------------------------------------------------------------------------------------------------------------------
# Servers

# Requests that wait at a server beside those that run, as "a few more".
QUEUE = 12


class Server:
    """One server of a service. `respond` turns a request into the bytes of a body (status 200)."""

    def __init__(self, world, service, zone, respond=None, work=0.01, capacity=8, **extra):
        self.world = world
        self.service = service
        self.zone = zone
        self.work = work
        self.capacity = capacity
        self.extra = extra
        self.respond = respond or (lambda request: b"answer to " + request["id"].encode())
        self.instance = f"i-{random.getrandbits(32):08x}"
        self.arrivals = []
        self.stamps = {}
        self.writers = set()
        self.server = None
        self.state = "ready"
        self.sequence = 0
        self.behave = None
        self.slots = asyncio.Semaphore(capacity)
        self.waiting = 0

    async def start(self, register=True):
        self.server = await asyncio.start_server(self._serve, self.world.server_ip, 0, limit=1 << 20)
        self.address = self.server.sockets[0].getsockname()
        self.beat_task = None
        if register:
            await self.register()
            self.beat_task = asyncio.create_task(self._beat())
        return self

    async def register(self):
        self.sequence += 1
        entry = {"service": self.service, "address": "%s:%d" % self.address[:2], "zone": self.zone, "version": "v1",
                 "capacity": self.capacity, "state": self.state, "warmupLeftMs": 0, "sequence": self.sequence}
        entry.update(self.extra)
        await self.world.store.put(f"servers/{self.instance}", entry)

    async def _beat(self):
        while True:
            await asyncio.sleep(1.2)
            await self.register()

    async def _serve(self, reader, writer):
        set_nodelay(writer)
        self.writers.add(writer)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                method, target, _version = head.first.split(" ")
                request = {"id": head.get("request-id") or "", "method": method, "target": target, "head": head,
                           "at": now(), "server": self, "ran": False, "deadline": head.get("deadline-ms")}
                self.arrivals.append(request)
                if self.behave is not None:
                    if await self.behave(self, request, reader, writer):
                        continue
                    return
                request["body"] = await read_body(reader, head)
                expected = head.get("expect-instance")
                if expected and expected != self.instance:
                    writer.write(message("HTTP/1.1 421 Misdirected", [("Request-Id", request["id"]),
                                                                      ("Not-Executed", "1")]))
                    await writer.drain()
                    continue
                if not await self._take_slot(request):
                    writer.write(message("HTTP/1.1 503 Service Unavailable", [("Request-Id", request["id"]),
                                                                              ("Not-Executed", "1")]))
                    await writer.drain()
                    continue
                try:
                    request["ran"] = True
                    request["ran_at"] = now()
                    request["worked_until"] = float("inf")
                    await asyncio.sleep(self.work)
                finally:
                    request["worked_until"] = now()
                    self.slots.release()
                self.write_answer(writer, request, self.respond(request))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            return
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _take_slot(self, request):
        """Waits in the server's queue; false if the queue is full or the deadline passes in it."""
        if self.slots.locked() and self.waiting >= QUEUE:
            return False
        self.waiting += 1
        try:
            left = float(request["deadline"] or 60_000) / 1000
            await asyncio.wait_for(self.slots.acquire(), left)
            return True
        except asyncio.TimeoutError:
            return False
        finally:
            self.waiting -= 1

    def write_answer(self, writer, request, body, extra=()):
        stamp = f"{self.instance}.{len(self.stamps)}"
        self.stamps[stamp] = (request["id"], body)
        headers = [("Request-Id", request["id"]), ("Response-Stamp", stamp), ("Keep-Alive", "timeout=10")]
        writer.write(message("HTTP/1.1 200 OK", headers + list(extra), body))

    async def crash(self):
        """Ends like a process that is killed: its connections are reset and nothing listens any more."""
        if self.beat_task:
            self.beat_task.cancel()
        self.server.close()
        for writer in list(self.writers):
            sock = writer.get_extra_info("socket")
            if sock is not None:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0")
            writer.transport.abort()


# ---------------------------------------------------------------------------------------------------------------------
# Consumers

# How a connection ended before a whole answer. A process that closes a connection with unread bytes resets it, so after
# an orderly end it had read the whole request.
CLOSED = "closed"
RESET = "reset"
LATE = "no whole answer within the deadline"


class EndOfConnection(Exception):
    pass


class Answer:
    def __init__(self):
        self.status = None
        self.head = None
        self.body = b""
        self.whole = False
        self.error = None
        self.began = now()
        self.ended = None
        self.id = None

    def __repr__(self):
        return (f"<{self.id} status={self.status} bytes={len(self.body)} whole={self.whole} error={self.error} "
                f"ms={(self.ended - self.began) * 1000:.0f}>")


class Consumer:
    """A consumer's connection."""

    def __init__(self, reader, writer):
        self.reader = reader
        self.writer = writer

    @classmethod
    async def connect(cls, address, timeout=1.0):
        reader, writer = await asyncio.wait_for(asyncio.open_connection(*address, limit=1 << 20), timeout)
        set_nodelay(writer)
        return cls(reader, writer)

    async def send(self, method, path, host, request_id, deadline_ms=10_000, body=b"", headers=()):
        lines = [f"{method} {path} HTTP/1.1", f"Host: {host}", f"Request-Id: {request_id}",
                 f"Deadline-Ms: {deadline_ms}"]
        lines += [f"{name}: {value}" for name, value in headers]
        if body:
            lines.append(f"Content-Length: {len(body)}")
        self.writer.write(("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body)
        await self.writer.drain()

    async def receive(self, request_id=None, timeout=30.0):
        answer = Answer()
        answer.id = request_id
        try:
            await asyncio.wait_for(self._receive(answer), timeout)
        except asyncio.TimeoutError:
            answer.error = LATE
        except EndOfConnection:
            answer.error = CLOSED
        except ConnectionError:
            answer.error = RESET
        except asyncio.IncompleteReadError as error:
            answer.body += error.partial
            answer.error = CLOSED
        answer.ended = now()
        return answer

    async def _receive(self, answer):
        head = await read_head(self.reader, raises=True)
        if head is None:
            raise EndOfConnection
        answer.head = head
        answer.status = int(head.first.split(" ")[1])
        if (head.get("transfer-encoding") or "").lower() == "chunked":
            answer.body = await read_chunks(self.reader)
        else:
            left = int(head.get("content-length") or 0)
            while left:
                part = await self.reader.read(min(left, 65536))
                if not part:
                    raise EndOfConnection
                answer.body += part
                left -= len(part)
        answer.whole = True

    def close(self):
        self.writer.close()


async def request(address, method, path, host, request_id, deadline_ms=10_000, body=b"", headers=(), timeout=None):
    """One consumer attempt on a new connection."""
    try:
        consumer = await Consumer.connect(address)
    except (OSError, asyncio.TimeoutError) as error:
        answer = Answer()
        answer.id, answer.ended, answer.error = request_id, now(), f"no connection: {type(error).__name__}"
        return answer
    try:
        await consumer.send(method, path, host, request_id, deadline_ms, body, headers)
        return await consumer.receive(request_id, timeout or deadline_ms / 1000)
    finally:
        consumer.close()


class Caller:
    """A consumer that asks a directory where to connect, and sends each attempt on a new connection."""

    def __init__(self, world, zone, keeps=1):
        self.world = world
        self.zone = zone
        self.keeps = keeps
        self.addresses = []
        self.until = 0.0

    async def resolve(self, host):
        """Asks up to three directories, nearest first; keeps the old answer if none answers."""
        if now() < self.until:
            return
        near = sorted(self.world.machines, key=lambda machine: (machine.zone != self.zone, random.random()))
        for machine in near[:3]:
            target = f"/v1/resolve?name={host}&region={self.world.zones[self.zone]}&zone={self.zone}"
            try:
                _status, body = await get_json(machine.directory, target)
            except (OSError, asyncio.TimeoutError):
                continue
            if body and body["addrs"]:
                self.addresses = [(a.rsplit(":", 1)[0], int(a.rsplit(":", 1)[1])) for a in body["addrs"]]
                self.until = now() + body["ttl_s"] * self.keeps
                return

    async def attempt(self, method, path, host, request_id, deadline_ms):
        await self.resolve(host)
        address = random.choice(self.addresses)
        answer = await request(address, method, path, host, request_id, deadline_ms)
        answer.address = address
        return answer


async def get_json(address, target, timeout=1.0):
    consumer = await Consumer.connect(address, timeout)
    try:
        consumer.writer.write(f"GET {target} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
        answer = await consumer.receive(timeout=timeout)
        body = json.loads(answer.body) if answer.body and answer.whole and answer.status == 200 else None
        return answer.status, body
    finally:
        consumer.close()


# ---------------------------------------------------------------------------------------------------------------------
# A link with a bandwidth, between consumers and one machine

class SlowLink:
    """Forwards connections to an address. All bytes back to consumers share one bandwidth, and the window is small."""

    def __init__(self, ip, target, bits_per_s, window=32 * 1024):
        self.ip = ip
        self.target = target
        self.rate = bits_per_s / 8
        self.window = window
        self.free_at = 0.0
        self.tasks = set()

    async def start(self):
        self.server = await asyncio.start_server(self._serve, self.ip, 0)
        self.address = self.server.sockets[0].getsockname()
        return self

    async def _serve(self, reader, writer):
        sock = socket.socket()
        # An Ethernet segment and a small window, instead of the loopback's 64 KiB segments and large buffers.
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, 1460)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, self.window)
        sock.setblocking(False)
        loop = asyncio.get_running_loop()
        try:
            await loop.sock_connect(sock, self.target)
            onward = asyncio.create_task(self._onward(reader, sock))
            self.tasks.add(onward)
            while True:
                part = await loop.sock_recv(sock, 4096)
                if not part:
                    break
                self.free_at = max(self.free_at, now()) + len(part) / self.rate
                await asyncio.sleep(max(0.0, self.free_at - now()))
                writer.write(part)
                await writer.drain()
        except (ConnectionError, OSError):
            pass
        finally:
            writer.close()
            sock.close()

    async def _onward(self, reader, sock):
        loop = asyncio.get_running_loop()
        try:
            while True:
                part = await reader.read(65536)
                if not part:
                    return
                await loop.sock_sendall(sock, part)
        except (ConnectionError, OSError):
            pass


# ---------------------------------------------------------------------------------------------------------------------
# Machines

TEMPLATE = """[node]
name = {name}
address = {ip}
zone = {zone}
region = {region}
cpu-share = 0.25
cpu-cores = 1

[zones]
{zones}
[listen]
callers = {ip}:{front}
ready = {ip}:{ready}
directory = {ip}:{directory}
metrics = {ip}:{metrics}
peer-port = {peer}

[store]
address = {store}

[bounds]
grace-s = {grace_s}
config-in-force-ms = {config_ms}
leaving-upstream-ms = {drain_ms}
retry-ratio = 0.2
retry-slack = 54
retry-window-s = 10
{more}
[log]
level = info
decisions = on
"""


class Machine:
    def __init__(self, world, number, zone, region):
        self.world = world
        self.name = f"front-{zone}-{number}"
        self.ip = f"{world.net}.{number + 1}"
        self.zone = zone
        self.region = region
        self.process = None
        self.starts = 0
        self.path = os.path.join(world.folder, f"{self.name}.conf")
        self.log_path = os.path.join(world.folder, f"{self.name}.log")

    @property
    def front(self):
        return (self.ip, self.world.ports["front"])

    @property
    def ready(self):
        return (self.ip, self.world.ports["ready"])

    @property
    def directory(self):
        return (self.ip, self.world.ports["directory"])

    def start(self):
        world = self.world
        zones = "".join(f"{zone} = {region}\n" for zone, region in world.zones.items())
        text = TEMPLATE.format(name=self.name, ip=self.ip, zone=self.zone, region=self.region, zones=zones,
                               store="%s:%d" % world.store.address[:2], more=world.more, **world.bounds, **world.ports)
        with open(self.path, "w") as file:
            file.write(text)
        log = open(self.log_path, "a")
        # The command of the deploy file, with the settings in a folder of this run.
        command = [PROGRAM, "--settings", self.path]
        self.process = subprocess.Popen(command, cwd=ROOT, stdin=subprocess.DEVNULL, stdout=log, stderr=log)
        log.close()
        self.starts += 1
        self.started_at = now()

    def signal(self, number):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self):
        self.signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()

    def is_running(self):
        return self.process is not None and self.process.poll() is None

    async def wait_ready(self, timeout=10.0):
        until = now() + timeout
        while now() < until:
            try:
                status, _body = await get_json(self.ready, "/v1/ready", 0.5)
                if status == 200:
                    return True
            except (OSError, asyncio.TimeoutError):
                pass
            await asyncio.sleep(0.05)
        return False

    def log_text(self):
        with open(self.log_path, errors="replace") as file:
            return file.read()


class World:
    def __init__(self, zones, more="", grace_s=6, config_ms=3000, drain_ms=3000):
        self.zones = zones
        self.more = more
        self.bounds = {"grace_s": grace_s, "config_ms": config_ms, "drain_ms": drain_ms}
        self.machines = []
        self.servers = []
        self.lines = []
        self.began = now()
        self.folder = tempfile.mkdtemp(prefix="ebonyfork-review-")

    async def start(self, counts):
        """Starts the store and plans `counts` machines for each zone."""
        if not os.path.exists(PROGRAM):
            raise FileNotFoundError(f"{PROGRAM}: build it first, as the deploy file says")
        self.net = self._free_network()
        self.server_ip = f"{self.net}.200"
        self.store = Store()
        await self.store.start((f"{self.net}.250", 0))
        number = 0
        for (zone, region), count in zip(self.zones.items(), counts):
            for _ in range(count):
                self.machines.append(Machine(self, number, zone, region))
                number += 1
        return self

    def _free_network(self):
        """Finds a loopback network in which ports that are the same on all machines are free."""
        for _ in range(50):
            net = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
            with socket.socket() as probe:
                probe.bind((f"{net}.1", 0))
                base = probe.getsockname()[1]
            if base > 65_000:
                continue
            names = ["front", "ready", "directory", "metrics", "peer"]
            ports = {name: base + index for index, name in enumerate(names)}
            taken = False
            for port in ports.values():
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    with socket.socket(socket.AF_INET, kind) as probe:
                        try:
                            probe.bind((f"{net}.1", port))
                        except OSError:
                            taken = True
            if not taken:
                self.ports = ports
                return net
        raise OSError("no free loopback network")

    async def add_server(self, service, zone, **arguments):
        server = await Server(self, service, zone, **arguments).start()
        self.servers.append(server)
        return server

    async def write_config(self, version, routes, services=None, limits=None, **extra):
        names = services or sorted({r["service"] for r in routes if "service" in r}
                                   | {s for r in routes for s in r.get("gather", [])})
        config = {"version": version, "routes": routes,
                  "services": [{"name": name, "healthPath": "/health", "maxConns": 100} if isinstance(name, str) else name
                               for name in names],
                  "limits": limits or {"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000,
                                       "idleTimeoutMs": 15000}}
        config.update(extra)
        return await self.store.put("op/config", config)

    def note(self, text):
        self.lines.append(f"{now() - self.began:8.3f} {text}")

    def write_record(self, path):
        with open(path, "w") as file:
            file.write("\n".join(self.lines) + "\n")

    async def close(self):
        for machine in self.machines:
            machine.signal(signal.SIGCONT)
            machine.kill()
        shutil.rmtree(self.folder, ignore_errors=True)


def route(name, host, prefix, kind="idempotent", timeout_ms=10_000, slo_ms=1_000, attempts=2, priority=1, **target):
    return {"name": name, "host": host, "prefix": prefix, "routeType": kind, "timeoutMs": timeout_ms, "sloMs": slo_ms,
            "priority": priority, "maxAttempts": attempts, **target}


def raise_file_limit():
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (min(8192, hard), hard))


def run_script(main, record):
    """Runs a case; exits with 1 if the rule was broken, 0 if it held and 2 if the case couldn't run."""
    raise_file_limit()
    # A case that is ended from outside ends its processes too.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    try:
        broken = asyncio.run(asyncio.wait_for(main(trouble, record), 115))
    except Exception as error:
        print(f"the case couldn't run: {type(error).__name__}: {error}")
        sys.exit(2)
    sys.exit(1 if broken else 0)
