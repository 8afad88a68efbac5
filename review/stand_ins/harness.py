"""Stand-ins of the platform, leafs and requesters for the cases of the review.

Only the standard library is used. The daemons are started as processes with the
command of the deploy file; the stand-ins run in the process of the case, on loopback
addresses and the real clock.
"""

from __future__ import annotations

import asyncio
import json
import os
import random
import signal
import socket
import sys
import tempfile
import time
from pathlib import Path
from urllib.parse import parse_qs

ROOT = Path(__file__).resolve().parents[2]
HOST = "hire.example"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
BROKEN, HELD, NOT_RUN = 1, 0, 2
# The bounds of the site sawt-hire.
BOUNDS = {
    "seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 4000, "ack_ms": 5000,
    "catch_up_s": 4, "drain_ms": 3000, "grace_s": 6, "loss_slack_ms": 200,
    "config_apply_ms": 3000, "rollback_slack_ms": 250, "max_skew_ms": 12000,
    "retry_budget_ratio": 0.2, "retry_window_s": 10, "budget_slack": 54,
    "canary_share": 0.1, "canary_slack": 50, "rollback_ms": 5000,
    "warmup_overshoot": 1.5, "warmup_slack": 5, "evacuate_ms": 5000,
    "recovery_s": 12, "ttl_max_s": 5,
}  # fmt: skip
LIMITS = {
    "max_header_bytes": 16384,
    "max_body_bytes": 262144,
    "header_timeout_ms": 3000,
    "idle_timeout_ms": 15000,
}
REASONS = {
    200: "OK", 201: "Created", 400: "Bad Request", 404: "Not Found", 409: "Conflict",
    410: "Gone", 421: "Misdirected Request", 500: "Internal Server Error",
    503: "Service Unavailable",
}  # fmt: skip


def free_port() -> int:
    """Return a port that is free now and is not given twice.

    It lies below the usual range of the ports of outgoing connections.
    """
    while True:
        port = random.randrange(12_000, 32_000)
        if port in _given:
            continue
        with socket.socket() as sock:
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                continue
        _given.add(port)
        return port


_given: set[int] = set()


class Record:
    """Write what was sent, answered and run, with seconds since the start."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self._start = time.monotonic()

    def now(self) -> float:
        return time.monotonic() - self._start

    def line(self, text: str, *, show: bool = False) -> None:
        self._file.write(f"{self.now():8.3f} {text}\n")
        self._file.flush()
        if show:
            print(text, flush=True)


async def read_message(reader):
    """Return first line, headers by lower-case name, and body; None at the end."""
    line = await reader.readline()
    if not line:
        return None
    headers = {}
    while (text := await reader.readline()) not in (b"\r\n", b""):
        name, _, value = text.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while size := int((await reader.readline()).split(b";")[0], 16):
            body += await reader.readexactly(size)
            await reader.readline()
        await reader.readline()
    else:
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    return line.decode("latin-1").strip(), headers, body


def message(status, headers, body=b""):
    """Return the bytes of an answer with a length."""
    lines = [f"HTTP/1.1 {status} {REASONS[status]}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines += [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode("latin-1") + body


class Server:
    """Accept connections on a loopback address."""

    def __init__(self, port=None) -> None:
        self.port = port or free_port()
        self.address = f"127.0.0.1:{self.port}"
        self.writers = set()
        self._server = None

    async def start(self) -> None:
        self._server = await asyncio.start_server(
            self._accept, "127.0.0.1", self.port, limit=2**22
        )

    def stop(self) -> None:
        """Stop listening and reset all connections."""
        if self._server is not None:
            self._server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def _accept(self, reader, writer) -> None:
        self.writers.add(writer)
        try:
            await self.serve(reader, writer)
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def serve(self, reader, writer) -> None:
        raise NotImplementedError


class RawSpec(bytes):
    """Text of a spec that is put into answers as it is."""


class Store:
    """The platform's object store, with one door (address) for each daemon."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.objects = {}
        self.revision = 1
        self.history = []
        self.changed = asyncio.Event()
        self.doors = []

    async def door(self):
        """Open one more address of the store."""
        door = Door(self)
        await door.start()
        self.doors.append(door)
        return door

    def put(self, kind, name, spec, status=None, finalizers=None) -> None:
        """Create or replace an object; the return is the ack."""
        known = self.objects.setdefault(kind, {}).get(name)
        if known and (known["spec"], known["status"]) == (spec, status):
            return
        self.revision += 1
        meta = {"name": name, "revision": self.revision, "created": 0}
        meta |= {"finalizers": finalizers or [], "deleting": False}
        self._note(kind, {"meta": meta, "spec": spec, "status": status}, False)

    def remove(self, kind, name) -> None:
        """Remove an object."""
        self.revision += 1
        stored = self.objects[kind][name]
        meta = {**stored["meta"], "revision": self.revision}
        self._note(kind, {**stored, "meta": meta}, True)

    def _note(self, kind, stored, removed) -> None:
        name = stored["meta"]["name"]
        if removed:
            del self.objects[kind][name]
        else:
            self.objects[kind][name] = stored
        self.history.append((self.revision, kind, stored, removed))
        text = stored["spec"] if isinstance(stored["spec"], dict) else "(raw)"
        if kind != "daemons":
            action = "removed" if removed else "acked"
            self.record.line(f"store {action} {kind}/{name} {str(text)[:200]}")
        self.changed.set()
        self.changed = asyncio.Event()

    async def call(self, method, target, body):
        """Return status and answer of a call."""
        path, _, query = target.partition("?")
        values = {key: texts[0] for key, texts in parse_qs(query).items()}
        kind, _, name = path.removeprefix("/api/objects/").partition("/")
        of_kind = self.objects.setdefault(kind, {})
        if method == "GET" and "watch" in values:
            return await self._watch(kind, values)
        if method == "GET" and not name:
            after = values.get("after", "")
            rest = [of_kind[key] for key in sorted(of_kind) if key > after]
            page = {"items": rest[:500], "more": len(rest) > 500}
            return 200, {**page, "current_rev": self.revision}
        if method == "GET":
            return (200, of_kind[name]) if name in of_kind else (404, {})
        sent = json.loads(body) if body else {}
        name, _, part = (name or sent["meta"]["name"]).partition("/")
        known = of_kind.get(name)
        if method == "POST" and known:
            return 409, known
        if method != "POST" and not known:
            return 404, {}
        wanted = sent.get("meta", {}).get("revision")
        if known and wanted not in (None, known["meta"]["revision"]):
            return 409, known
        if method == "DELETE":
            self.remove(kind, name)
            return 200, {}
        if part == "status":
            self.put(kind, name, known["spec"], sent["status"])
        else:
            self.put(kind, name, sent["spec"], known["status"] if known else None)
        return 200, of_kind[name]

    async def _watch(self, kind, values):
        since, end = int(values["watch"]), time.monotonic()
        end += int(values.get("wait_ms", "0")) / 1000
        while True:
            events = [
                {"object": stored, "removed": removed}
                for revision, changed, stored, removed in self.history
                if changed == kind and revision > since
            ]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "current_rev": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except TimeoutError:
                pass


def encode(value) -> bytes:
    """Return the JSON text of an answer, with raw specs as they are."""
    raw = []

    def keep(spec):
        raw.append(spec)
        return f"\0raw{len(raw) - 1}\0"

    text = json.dumps(value, default=keep).encode()
    for number, spec in enumerate(raw):
        text = text.replace(json.dumps(f"\0raw{number}\0").encode(), bytes(spec))
    return text


class Door(Server):
    """One address of the store; it can turn silent while the others serve."""

    def __init__(self, store: Store) -> None:
        super().__init__()
        self.store = store
        self.silent = False
        self.refusing = False

    def refuse(self) -> None:
        """Reject all calls from now on and cut the watches that wait."""
        self.refusing = True
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(self, reader, writer) -> None:
        while (sent := await read_message(reader)) is not None:
            line, _, body = sent
            method, target, _ = line.split(" ")
            if self.refusing:
                # Nothing was done.
                writer.write(message(503, {}))
                await writer.drain()
                continue
            status, answer = await self.store.call(method, target, body)
            if self.silent:
                # A connection on which an answer is lost returns nothing further.
                await asyncio.sleep(3600)
            head = {"Content-Type": "application/json"}
            writer.write(message(status, head, encode(answer)))
            await writer.drain()


class Leaf(Server):
    """One leaf; behaves as a sound server unless a case overrides `answer`."""

    def __init__(self, record, name, upstream, *, zone="sohar", work_s=0.02) -> None:
        super().__init__()
        self.record, self.name, self.upstream = record, name, upstream
        self.zone, self.work_s = zone, work_s
        self.arrivals = []
        self.born = int(time.time() * 1000)

    def spec(self, **fields):
        """Return the registration of the leaf."""
        spec = {
            "upstream": self.upstream, "address": self.address, "zone": self.zone,
            "version": "v1", "slots": 2, "state": "ready", "warmup_left_ms": 0,
            "sequence": 1, "born": self.born,
        }  # fmt: skip
        return {**spec, **fields}

    async def serve(self, reader, writer) -> None:
        while (sent := await read_message(reader)) is not None:
            line, headers, body = sent
            writer.write(await self.handle(line, headers, body))
            await writer.drain()

    async def handle(self, line, headers, body) -> bytes:
        request_id = headers.get("gypsumvane-request-id", "")
        if not request_id:
            return message(400, {"Gypsumvane-Not-Executed": "1"})
        echo = {"Gypsumvane-Request-Id": request_id}
        if headers.get("gypsumvane-expect-instance", self.name) != self.name:
            self.record.line(f"leaf {self.name} 421 {request_id}")
            return message(421, {**echo, "Gypsumvane-Not-Executed": "1"})
        self.arrivals.append((time.monotonic(), request_id))
        self.record.line(f"leaf {self.name} runs {request_id} {line}")
        return await self.answer(request_id, echo, line, body)

    async def answer(self, request_id, echo, line, body) -> bytes:
        await asyncio.sleep(self.work_s)
        stamp = {"Gypsumvane-Response-Stamp": f"{self.name}.{request_id}"}
        return message(200, {**echo, **stamp}, b"0123456789abcdef" * 4)


class Daemon:
    """One machine with a routing daemon."""

    def __init__(self, fleet, name, zone, door) -> None:
        self.fleet, self.name, self.zone, self.door = fleet, name, zone, door
        self.ports = {
            key: free_port()
            for key in ("front", "ready", "control", "directory", "metrics")
        }
        self.process = None

    @property
    def front(self) -> int:
        return self.ports["front"]

    def settings(self):
        listen = {
            key: f"127.0.0.1:{port}"
            for key, port in self.ports.items()
            if key != "metrics"
        }
        metrics = self.ports["metrics"]
        zones = dict.fromkeys(self.fleet.zones, "batinah")
        return {
            "node": self.name, "role": "entry", "machine_class": "front",
            "serves": ["front", "control", "directory"], "ip": "127.0.0.1",
            "zone": self.zone, "region": "batinah", "zones": zones, "listen": listen,
            "internal_port_range": [metrics, metrics + 15],
            "seeds": [f"127.0.0.1:{d.ports['control']}" for d in self.fleet.daemons][:3],
            "bootstrap": False, "fault_counted": False,
            "limits": {"cpu_share": 0.537, "cores": 2, "memory_mb": 300,
                       "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 0},
            "data_dir": None, "discovery": "platform", "entry": "directory",
            "heartbeat_ms": 1200, "contracts": [],
            "fault_tolerance": {"machines": 2, "zones": 1, "regions": 0},
            "bounds": BOUNDS,
            "platform": {"address": self.door.address, "form": "objects",
                         "writes_per_s": 400, "reads_per_s": 2000, "history_s": 20,
                         "value_bytes": 1048576, "ttl_min_ms": 1000},
        }  # fmt: skip

    async def start(self) -> None:
        """Start the program with the command of the deploy file."""
        path = Path(self.fleet.folder.name) / f"{self.name}.json"
        path.write_text(json.dumps(self.settings()), encoding="utf-8")
        kept = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        log = (Path(self.fleet.folder.name) / f"{self.name}.log").open("ab")
        self.process = await asyncio.create_subprocess_exec(
            *"python3 -m gypsumvane_platform.main".split(),
            cwd=ROOT,
            env={
                **kept,
                "GYPSUMVANE_NODE_FILE": str(path),
                "PYTHONPATH": str(ROOT / "target" / "deps"),
            },
            stdout=log,
            stderr=log,
        )
        log.close()
        self.fleet.record.line(f"daemon {self.name} started")

    def send(self, number) -> None:
        self.fleet.record.line(f"daemon {self.name} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    async def is_ready(self) -> bool:
        try:
            status, _, _ = await http(self.ports["ready"], "GET", "/api/ready", {}, 2)
        except (OSError, TimeoutError, ValueError):
            return False
        return status == 200

    async def wait_ready(self, timeout_s=30.0) -> None:
        end = time.monotonic() + timeout_s
        while not await self.is_ready():
            if time.monotonic() > end:
                raise CannotRunError(f"{self.name} is not ready")
            await asyncio.sleep(0.05)


class CannotRunError(Exception):
    """The case cannot run here."""


class Fleet:
    """Store, leafs and daemons of a small deployment."""

    def __init__(self, record: Record, zones=("sohar", "barka")) -> None:
        self.record, self.zones = record, zones
        self.folder = tempfile.TemporaryDirectory()
        self.store = Store(record)
        self.daemons = []
        self.leafs = []
        self._version = 0

    async def add_daemon(self, name, zone):
        daemon = Daemon(self, name, zone, await self.store.door())
        self.daemons.append(daemon)
        return daemon

    async def add_leaf(self, leaf, **fields):
        await leaf.start()
        self.leafs.append(leaf)
        self.store.put("servers", leaf.name, leaf.spec(**fields))
        return leaf

    def write_config(self, *routes, **service_fields) -> None:
        """Write the next version of the desired state; the return is the ack."""
        self._version += 7
        names = set()
        for entry in routes:
            names |= (
                {entry["upstream"]} if "upstream" in entry else set(entry["gather"])
            )
        upstreams = [
            {"name": name, "health_check": "/healthz", "max_connections": 26}
            | service_fields
            for name in sorted(names)
        ]
        spec = {"version": self._version, "routes": list(routes)}
        spec |= {"upstreams": upstreams, "limits": LIMITS}
        self.store.put("config", "main", spec)

    async def start(self) -> None:
        if not (ROOT / "target" / "deps" / "gypsumvane_platform").is_dir():
            raise CannotRunError("run the build of the deploy file first")
        for daemon in self.daemons:
            await daemon.start()
        for daemon in self.daemons:
            await daemon.wait_ready()
        await asyncio.sleep(4.5)  # contact_ms

    async def stop(self) -> None:
        for daemon in self.daemons:
            if daemon.process is not None and daemon.process.returncode is None:
                daemon.process.send_signal(signal.SIGCONT)
                daemon.process.kill()
                await daemon.process.wait()
        for server in (*self.leafs, *self.store.doors):
            server.stop()
        if os.environ.get("KEEP_LOGS"):
            os.system(f"cp -r {self.folder.name} {os.environ['KEEP_LOGS']}")
        self.folder.cleanup()


def route(name, prefix, **fields):
    """Return a route of the desired state."""
    base = {
        "name": name, "hostname": HOST, "path_prefix": prefix,
        "route_type": "idempotent", "timeout_ms": 6000, "attempts": 2,
        "target_latency_ms": 600, "priority": 2,
    }  # fmt: skip
    return {**base, **fields}


async def http(port, method, path, headers, timeout_s, body=b""):
    """Send a request on a new connection; return status, headers and body."""

    async def exchange():
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        try:
            lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}"]
            lines += [f"{name}: {value}" for name, value in headers.items()]
            if body or method == "POST":
                lines.append(f"Content-Length: {len(body)}")
            writer.write("\r\n".join([*lines, "", ""]).encode() + body)
            answer = await read_message(reader)
            if answer is None:
                raise ConnectionResetError("closed without an answer")
            line, fields, content = answer
            return int(line.split(" ")[1]), fields, content
        finally:
            writer.close()

    return await asyncio.wait_for(exchange(), timeout_s)


class Requester:
    """Send requests to daemons and record the answers."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.count = 0
        self.tasks = set()
        self._sent = {}

    async def ask(self, daemon, path, *, method="GET", body=b"", deadline_ms=6000):
        """Send one request; return its id, status (0 without answer) and headers."""
        self.count += 1
        request_id = f"r{self.count:05}"
        self._sent.setdefault(daemon.name, set()).add(request_id)
        headers = {
            "Gypsumvane-Request-Id": request_id,
            "Gypsumvane-Deadline-Ms": str(deadline_ms),
        }
        self.record.line(f"sent {request_id} {method} {path} to {daemon.name}")
        fields = {}
        try:
            status, fields, _ = await http(
                daemon.front, method, path, headers, deadline_ms / 1000 + 1, body
            )
        except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
            status = 0
            self.record.line(f"no answer {request_id} {type(error).__name__}")
        else:
            self.record.line(f"answered {request_id} {status}")
        return request_id, status, fields

    def sent_to(self, daemon):
        """Return the ids of the requests that were sent to a daemon."""
        return self._sent.get(daemon.name, set())

    def begin(self, *args, **kwargs):
        """Send one request in the background."""
        task = asyncio.create_task(self.ask(*args, **kwargs))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task


def run_case(folder: str, case) -> None:
    """Run a case and exit with its verdict."""

    async def main() -> int:
        record = Record(Path(folder).resolve().parent)
        record.line(f"TROUBLE={int(TROUBLE)}")
        fleet = Fleet(record)
        # A case that is ended from outside stops its processes, too.
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
        try:
            return await asyncio.wait_for(case(record, fleet), 110)
        except asyncio.CancelledError:
            return NOT_RUN
        except Exception as error:
            # Any other end than a verdict says nothing about the rule.
            record.line(f"cannot run: {type(error).__name__}: {error}", show=True)
            return NOT_RUN
        finally:
            await fleet.stop()

    sys.exit(asyncio.run(main()))
