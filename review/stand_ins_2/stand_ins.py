"""Stand-ins of the platform's store, of back ends and of callers, and daemon processes.

Only the standard library is used. The daemons are started with the command of the
deploy file. All addresses are loopback addresses with free ports.
"""

from __future__ import annotations

import asyncio
import contextlib
import hashlib
import json
import os
import random
import shutil
import signal
import socket
import struct
import tempfile
import time
from dataclasses import dataclass
from dataclasses import field
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs
from urllib.parse import urlsplit

ROOT = Path(__file__).resolve().parents[2]
HOST = "pupu76.example"
READY_TIMEOUT_S = 30.0
# What the store keeps of its history, and the bounds of a page of a list.
HISTORY_S = 20.0
PAGE_ITEMS = 500
PAGE_BYTES = 1_000_000

BOUNDS = {
    "seed_lag_s": 3,
    "reuse_after_s": 2,
    "contact_ms": 4000,
    "ack_ms": 5000,
    "catch_up_s": 4,
    "drain_ms": 3000,
    "grace_s": 6,
    "loss_slack_ms": 200,
    "config_apply_ms": 3000,
    "rollback_slack_ms": 250,
    "max_skew_ms": 12000,
    "retry_budget_ratio": 0.2,
    "retry_window_s": 10,
    "budget_slack": 54,
    "canary_share": 0.1,
    "canary_slack": 50,
    "rollback_ms": 5000,
    "warmup_overshoot": 1.5,
    "warmup_slack": 5,
    "evacuate_ms": 5000,
    "recovery_s": 12,
    "ttl_max_s": 5,
}
LIMITS = {
    "max_header_bytes": 16384,
    "max_body_bytes": 262144,
    "header_timeout_ms": 3000,
    "idle_timeout_ms": 15000,
}


class CaseError(Exception):
    """Report that a case could not run."""


class Record:
    """Write what was sent, answered and run to the record of a case."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._begun_s = time.monotonic()

    def line(self, event: str, **fields: Any) -> None:
        """Write one line with the time since the start of the case."""
        now_s = time.monotonic() - self._begun_s
        parts = " ".join(f"{name}={value}" for name, value in fields.items())
        self._file.write(f"{now_s:8.3f} {event} {parts}\n")
        self._file.flush()

    def close(self) -> None:
        """Close the file."""
        self._file.close()


_used_ports: set[int] = set()


def free_port() -> int:
    """Return a free port outside of the range that the kernel gives to connections."""
    while True:
        port = random.randint(10_000, 30_000)
        if port in _used_ports:
            continue
        with socket.socket() as sock:
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                continue
        _used_ports.add(port)
        return port


@dataclass
class Request:
    """Hold a request as it was received."""

    method: str
    target: str
    headers: list[tuple[str, str]]
    body: bytes = b""

    def header(self, name: str) -> str:
        """Return the first value of a header, empty if it is absent."""
        for key, value in self.headers:
            if key.lower() == name.lower():
                return value
        return ""

    @property
    def request_id(self) -> str:
        """Return the id of the request."""
        return self.header("Gypsumvane-Request-Id")


async def read_head(reader: asyncio.StreamReader) -> Request | None:
    """Read a request line and headers; None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.decode("latin-1")[:-4].split("\r\n")
    method, target, _ = first.split(" ", 2)
    pairs = [line.partition(":") for line in lines]
    return Request(method, target, [(k, v.strip()) for k, _, v in pairs])


async def read_body(request: Request, reader: asyncio.StreamReader) -> bytes:
    """Read the body of a request, with a length or in chunks."""
    if "chunked" in request.header("Transfer-Encoding").lower():
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            if size == 0:
                while (await reader.readline()).strip():
                    pass
                return body
            body += await reader.readexactly(size)
            await reader.readexactly(2)
    return await reader.readexactly(int(request.header("Content-Length") or 0))


class Store:
    """The platform's store: objects by kind and name, and watches."""

    def __init__(self) -> None:
        self.address = f"127.0.0.1:{free_port()}"
        self.revision = 10
        self.objects: dict[str, dict[str, Any]] = {}
        self.down = False
        # Time, revision, kind, object and whether it was removed, by revision.
        self._history: list[tuple[float, int, str, Any, bool]] = []
        # The history up to this revision is dropped.
        self._dropped_revision = 0
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        host, port = self.address.split(":")
        self._server = await asyncio.start_server(self._serve, host, int(port))

    async def stop(self) -> None:
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.close()

    def put(self, kind: str, name: str, spec: Any) -> None:
        """Create an object or replace its spec, as the operator or a leaf does."""
        known = self.objects.get(kind, {}).get(name)
        if known is not None and known["spec"] == spec:
            return
        self._store(kind, name, spec, known["status"] if known else None)

    def remove(self, kind: str, name: str) -> None:
        """Remove an object."""
        stored = self.objects.get(kind, {}).pop(name, None)
        if stored is not None:
            self.revision += 1
            self._event(kind, stored, removed=True)

    def _store(self, kind: str, name: str, spec: Any, status: Any) -> Any:
        self.revision += 1
        known = self.objects.get(kind, {}).get(name)
        created = known["meta"]["created"] if known else self.revision
        stored = {
            "meta": {
                "name": name,
                "revision": self.revision,
                "created": created,
                "finalizers": [],
                "deleting": False,
            },
            "spec": spec,
            "status": status,
        }
        self.objects.setdefault(kind, {})[name] = stored
        self._event(kind, stored, removed=False)
        return stored

    def _event(self, kind: str, stored: Any, *, removed: bool) -> None:
        now_s = time.monotonic()
        self._history.append((now_s, self.revision, kind, stored, removed))
        self._drop_old_history()
        self._changed.set()
        self._changed = asyncio.Event()

    def _drop_old_history(self) -> None:
        oldest_s = time.monotonic() - HISTORY_S
        while self._history and self._history[0][0] < oldest_s:
            self._dropped_revision = self._history.pop(0)[1]

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while (request := await read_head(reader)) is not None:
                request.body = await read_body(request, reader)
                status, value = await self._answer(request)
                body = b"" if value is None else json.dumps(value).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(body)}\r\n\r\n".encode() + body
                )
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, request: Request) -> tuple[int, Any]:
        if self.down:
            return 503, None
        parts = urlsplit(request.target)
        query = {key: values[0] for key, values in parse_qs(parts.query).items()}
        kind, _, name = parts.path.removeprefix("/api/objects/").partition("/")
        name, _, part = name.partition("/")
        named = self.objects.setdefault(kind, {})
        if request.method == "GET" and "watch" in query:
            return await self._watch(kind, query)
        if request.method == "GET" and name:
            return (200, named[name]) if name in named else (404, None)
        if request.method == "GET":
            return 200, self._page(named, query.get("after", ""))
        content = json.loads(request.body or b"{}")
        meta = content.get("meta") or {}
        name = name or meta["name"]
        known = named.get(name)
        if request.method == "POST":
            if known is not None:
                return 409, known
            return 200, self._store(kind, name, content.get("spec"), None)
        if known is None:
            return 404, None
        if meta.get("revision") not in (None, known["meta"]["revision"]):
            return 409, known
        if request.method == "DELETE":
            self.remove(kind, name)
            return 200, known
        spec, status = known["spec"], known["status"]
        if part == "status":
            status = content.get("status")
        else:
            spec = content.get("spec")
        if (spec, status) == (known["spec"], known["status"]):
            return 200, known
        return 200, self._store(kind, name, spec, status)

    def _page(self, named: dict[str, Any], after: str) -> dict[str, Any]:
        rest = [named[key] for key in sorted(named) if key > after]
        items: list[Any] = []
        size = 0
        for stored in rest[:PAGE_ITEMS]:
            size += len(json.dumps(stored))
            if items and size > PAGE_BYTES:
                break
            items.append(stored)
        more = len(items) < len(rest)
        return {"items": items, "more": more, "current_rev": self.revision}

    async def _watch(self, kind: str, query: dict[str, str]) -> tuple[int, Any]:
        since = int(query["watch"])
        end_s = time.monotonic() + int(query.get("wait_ms", "0")) / 1000
        while True:
            self._drop_old_history()
            if since < self._dropped_revision:
                return 410, None
            events = [
                {"object": stored, "removed": removed}
                for _, revision, changed, stored, removed in self._history
                if changed == kind and revision > since
            ]
            left_s = end_s - time.monotonic()
            if events or left_s <= 0:
                return 200, {"events": events, "current_rev": self.revision}
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(left_s):
                    await self._changed.wait()


def stamp(leaf_id: str, request_id: str) -> str:
    """Return the proof of a leaf for its answer to a request."""
    return hashlib.sha256(f"{leaf_id}/{request_id}".encode()).hexdigest()[:24]


@dataclass
class Leaf:
    """A back end's process that speaks the platform's protocol.

    Subclasses override work() or respond() to behave in other ways.
    """

    leaf_id: str
    service: str
    store: Store
    record: Record
    zone: str = "sohar"
    version: str = "v1"
    slots: int = 2
    work_s: float = 0.03
    body: bytes = b"x" * 200
    heartbeat_s: float = 1.2
    address: str = field(default_factory=lambda: f"127.0.0.1:{free_port()}")
    state: str = "ready"
    silent: bool = False
    runs: list[tuple[float, Request]] = field(default_factory=list)
    born: int = field(default_factory=lambda: int(time.time() * 1000))
    _sequence: int = 0
    _server: asyncio.Server | None = None
    _tasks: set[asyncio.Task[Any]] = field(default_factory=set)

    async def start(self) -> None:
        host, port = self.address.split(":")
        self._server = await asyncio.start_server(self._serve, host, int(port))
        self.register()
        self._beat_task = asyncio.create_task(self._beat())

    async def stop(self) -> None:
        self._beat_task.cancel()
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def entry(self) -> dict[str, Any]:
        """Return the entry of the leaf in the store."""
        return {
            "upstream": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": self.version,
            "slots": self.slots,
            "state": self.state,
            "warmup_left_ms": 0,
            "sequence": self._sequence,
            "born": self.born,
        }

    def register(self) -> None:
        """Write the entry, unless only its sequence has changed."""
        known = self.store.objects.get("servers", {}).get(self.leaf_id)
        self._sequence += 1
        entry = self.entry()
        if known is None or {**known["spec"], "sequence": 0} != {**entry, "sequence": 0}:
            self.store.put("servers", self.leaf_id, entry)

    async def _beat(self) -> None:
        silent = 0
        while True:
            await asyncio.sleep(self.heartbeat_s)
            if not self.silent:
                silent = 0
                self.register()
                continue
            silent += 1
            if silent == 3:
                self.store.remove("servers", self.leaf_id)
                self.record.line("entry_expired", leaf=self.leaf_id)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            while (request := await read_head(reader)) is not None:
                if not await self.respond(request, reader, writer):
                    break
        except (ConnectionError, asyncio.CancelledError, asyncio.IncompleteReadError):
            pass
        finally:
            self._tasks.discard(task)
            writer.close()

    async def respond(
        self,
        request: Request,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Answer a request and return whether the connection stays open."""
        request.body = await read_body(request, reader)
        if request.header("Gypsumvane-Expect-Instance") not in ("", self.leaf_id):
            writer.write(
                b"HTTP/1.1 421 Misdirected Request\r\nGypsumvane-Not-Executed: 1\r\n"
                b"Content-Length: 0\r\n\r\n"
            )
            return True
        return await self.work(request, writer)

    async def work(self, request: Request, writer: asyncio.StreamWriter) -> bool:
        """Run a request and answer it."""
        self.note_run(request)
        await asyncio.sleep(self.work_s)
        writer.write(self.answer(request))
        await writer.drain()
        return True

    def note_run(self, request: Request) -> None:
        """Record that the leaf began to work on a request."""
        self.runs.append((time.monotonic(), request))
        self.record.line("run", leaf=self.leaf_id, id=request.request_id)

    def answer(
        self,
        request: Request,
        status: str = "200 OK",
        body: bytes | None = None,
        **headers: str,
    ) -> bytes:
        """Return the bytes of an answer."""
        content = self.body if body is None else body
        fields = {
            "Gypsumvane-Request-Id": request.request_id,
            "Gypsumvane-Response-Stamp": stamp(self.leaf_id, request.request_id),
            "Content-Length": str(len(content)),
            **{name.replace("_", "-"): value for name, value in headers.items()},
        }
        head = "".join(f"{k}: {v}\r\n" for k, v in fields.items() if v)
        return f"HTTP/1.1 {status}\r\n{head}\r\n".encode() + content


def route(name: str, prefix: str, upstream: str = "", **fields: Any) -> dict[str, Any]:
    """Return a route of the desired state."""
    base: dict[str, Any] = {
        "name": name,
        "hostname": HOST,
        "path_prefix": prefix,
        "route_type": "idempotent",
        "timeout_ms": 6000,
        "target_latency_ms": 600,
        "priority": 2,
        "attempts": 2,
    }
    if upstream:
        base["upstream"] = upstream
    return {**base, **fields}


def config(version: int, *routes: dict[str, Any], **limits: int) -> dict[str, Any]:
    """Return a desired state with the services that its routes name."""
    names: set[str] = set()
    for entry in routes:
        names |= {entry["upstream"]} if "upstream" in entry else set()
        names |= set(entry.get("gather", ()))
        names |= {part["upstream"] for part in entry.get("traffic_split", ())}
    services = [
        {
            "name": name,
            "health_check": "/healthz",
            "max_connections": 100,
            "protocol": "h1",
            "tls": False,
            "warmup_s": 3.0,
            "warmup_per_s": 0.0,
        }
        for name in sorted(names)
    ]
    return {
        "version": version,
        "routes": list(routes),
        "upstreams": services,
        "limits": {**LIMITS, **limits},
    }


class Daemon:
    """A routing daemon as a process, started with the command of the deploy file."""

    def __init__(
        self, name: str, store: Store, record: Record, *, zone: str = "sohar"
    ) -> None:
        self.name = name
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="gypsumvane-case-"))
        ports = {part: free_port() for part in ("front", "ready", "control", "directory")}
        self.listen = {part: f"127.0.0.1:{port}" for part, port in ports.items()}
        self.front = self.listen["front"]
        self._metrics_port = free_port()
        self.values: dict[str, Any] = {
            "node": name,
            "role": "entry",
            "machine_class": "front",
            "serves": ["front", "control", "directory"],
            "ip": "127.0.0.1",
            "zone": zone,
            "region": "batinah",
            "zones": {"sohar": "batinah", "barka": "batinah"},
            "listen": self.listen,
            "internal_port_range": [self._metrics_port, self._metrics_port],
            "seeds": [],
            "bootstrap": True,
            "fault_counted": False,
            "limits": {
                "cpu_share": 0.537,
                "cores": 2,
                "memory_mb": 300,
                "max_fds": 4100,
                "link_mbps": 1000.0,
                "disk_mb": 0,
            },
            "data_dir": None,
            "discovery": "platform",
            "entry": "directory",
            "heartbeat_ms": 1200,
            "contracts": ["base", "drain", "config", "cost", "retry", "recover"],
            "fault_tolerance": {"machines": 2, "zones": 1, "regions": 0},
            "bounds": BOUNDS,
            "platform": {
                "address": store.address,
                "form": "objects",
                "writes_per_s": 400,
                "reads_per_s": 2000,
                "history_s": 20,
                "value_bytes": 1048576,
                "ttl_min_ms": 1000,
            },
        }
        self.process: asyncio.subprocess.Process | None = None
        self._log: Any = None

    async def start(self) -> None:
        """Start the process."""
        path = self.folder / "local.json"
        path.write_text(json.dumps(self.values), encoding="utf-8")
        keep = ("PATH", "HOME", "LANG")
        env = {name: os.environ[name] for name in keep if name in os.environ}
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        env["GYPSUMVANE_NODE_FILE"] = str(path)
        self._log = (self.folder / "log").open("ab")
        self.process = await asyncio.create_subprocess_exec(
            "python3",
            "-m",
            "gypsumvane_platform.main",
            cwd=ROOT,
            env=env,
            stdout=self._log,
            stderr=self._log,
        )
        self.record.line("daemon_started", daemon=self.name)

    async def wait_ready(self) -> None:
        """Wait until the daemon is ready. Raises CaseError."""
        end_s = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < end_s:
            assert self.process is not None
            if self.process.returncode is not None:
                raise CaseError(f"{self.name} ended with {self.process.returncode}")
            with contextlib.suppress(OSError, TimeoutError, EOFError, ValueError):
                async with asyncio.timeout(1):
                    answer = await fetch(self.listen["ready"], "/api/ready")
                    if answer.status == 200:
                        self.record.line("daemon_ready", daemon=self.name)
                        return
            await asyncio.sleep(0.05)
        raise CaseError(f"{self.name} is not ready after {READY_TIMEOUT_S} s")

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        assert self.process is not None
        self.record.line("signal", daemon=self.name, signal=number.name)
        self.process.send_signal(number)

    def log_lines(self) -> list[dict[str, Any]]:
        """Return what the daemon has logged."""
        lines = []
        for line in (self.folder / "log").read_text(encoding="utf-8").splitlines():
            with contextlib.suppress(ValueError):
                lines.append(json.loads(line))
        return lines

    async def stop(self) -> None:
        """End the process and remove its folder."""
        if self.process is not None and self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(signal.SIGCONT)
                self.process.kill()
            await self.process.wait()
        if self._log is not None:
            self._log.close()
        shutil.rmtree(self.folder, ignore_errors=True)


@dataclass
class Answer:
    """Hold an answer as a caller has received it."""

    status: int
    headers: list[tuple[str, str]]
    body: bytes
    # Whether the whole body arrived.
    complete: bool = True

    def header(self, name: str) -> str:
        """Return the first value of a header, empty if it is absent."""
        for key, value in self.headers:
            if key.lower() == name.lower():
                return value
        return ""


async def open_connection(
    address: str, *, receive_bytes: int = 0, segment_bytes: int = 0, limit: int = 2**16
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Connect as a caller, whose link may have small windows and segments."""
    host, port = address.split(":")
    sock = socket.socket()
    if receive_bytes:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes)
    if segment_bytes:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, segment_bytes)
    sock.setblocking(False)
    await asyncio.get_running_loop().sock_connect(sock, (host, int(port)))
    return await asyncio.open_connection(sock=sock, limit=limit)


def encode_request(
    method: str,
    target: str,
    request_id: str,
    *,
    deadline_ms: int | None = 6000,
    body: bytes = b"",
    headers: dict[str, str] | None = None,
) -> bytes:
    """Return the bytes of a caller's request."""
    fields = {"Host": HOST, "Gypsumvane-Request-Id": request_id}
    if deadline_ms is not None:
        fields["Gypsumvane-Deadline-Ms"] = str(deadline_ms)
    if body or method in ("POST", "PUT"):
        fields["Content-Length"] = str(len(body))
    fields.update(headers or {})
    lines = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
    return f"{method} {target} HTTP/1.1\r\n{lines}\r\n".encode("latin-1") + body


async def read_answer(
    reader: asyncio.StreamReader, *, bytes_per_s: float = 0.0, bodiless: bool = False
) -> Answer:
    """Read an answer. Raises EOFError if the connection ends before its head."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError) as error:
        raise EOFError(f"no answer: {error!r}") from error
    first, *lines = head.decode("latin-1")[:-4].split("\r\n")
    pairs = [line.partition(":") for line in lines]
    answer = Answer(int(first.split(" ")[1]), [(k, v.strip()) for k, _, v in pairs], b"")
    left = 0 if bodiless else int(answer.header("Content-Length") or 0)
    while left:
        size = min(left, 8192 if bytes_per_s else 65536)
        try:
            part = await reader.read(size)
        except ConnectionError:
            part = b""
        if not part:
            answer.complete = False
            break
        answer.body += part
        left -= len(part)
        if bytes_per_s:
            await asyncio.sleep(len(part) / bytes_per_s)
    return answer


async def fetch(address: str, target: str) -> Answer:
    """Send a plain GET and return the answer."""
    reader, writer = await open_connection(address)
    try:
        writer.write(f"GET {target} HTTP/1.1\r\nHost: {address}\r\n\r\n".encode())
        return await read_answer(reader)
    finally:
        writer.close()


async def call(
    address: str, method: str, target: str, request_id: str, **options: Any
) -> Answer:
    """Send one request on a new connection and return the answer."""
    reader, writer = await open_connection(address)
    try:
        writer.write(encode_request(method, target, request_id, **options))
        return await read_answer(reader, bodiless=method == "HEAD")
    finally:
        writer.close()


def reset_connection(writer: asyncio.StreamWriter) -> None:
    """Close a connection with a reset."""
    sock = writer.get_extra_info("socket")
    linger = struct.pack("ii", 1, 0)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()


def run_case(main: Any, path: str) -> int:
    """Run a case and return its exit status.

    main gets the record and whether the disruption happens, and returns whether the
    rule held.
    """
    record = Record(Path(path).resolve().parent / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.line("case", trouble=int(trouble))
    try:
        held = asyncio.run(asyncio.wait_for(main(record, trouble), 115))
    except Exception as error:  # noqa: BLE001
        record.line("could_not_run", error=repr(error))
        print(f"could not run: {error!r}")
        return 2
    else:
        record.line("result", held=held)
        print("the rule held" if held else "the rule was broken")
        return 0 if held else 1
    finally:
        record.close()
