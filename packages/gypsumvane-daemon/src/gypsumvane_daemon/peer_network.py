"""Connections between daemons."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import time
from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace
from functools import partial
from typing import TYPE_CHECKING
from typing import Any
from typing import TypeVar

from gypsumvane_core.heartbeat_delta import HeartbeatDeltaDecoder
from gypsumvane_core.heartbeat_delta import HeartbeatDeltaEncoder
from gypsumvane_core.messages import Beat
from gypsumvane_core.messages import ClaimLeaseReply
from gypsumvane_core.messages import ClaimLeaseRequest
from gypsumvane_core.messages import Heartbeat
from gypsumvane_core.messages import HeartbeatReply
from gypsumvane_core.messages import Hello
from gypsumvane_core.messages import Message
from gypsumvane_daemon.addresses import split_address
from gypsumvane_daemon.client_service import ClientService
from gypsumvane_daemon.inbound_peer import InboundPeer
from gypsumvane_daemon.kernel import Service
from gypsumvane_daemon.listening_socket import bind_listener
from gypsumvane_daemon.metrics import MetricsService
from gypsumvane_daemon.peer_codec import FRAME_BYTES_MAX
from gypsumvane_daemon.peer_codec import LENGTH_BYTES
from gypsumvane_daemon.peer_codec import Frame
from gypsumvane_daemon.peer_codec import FrameError
from gypsumvane_daemon.peer_codec import decode_frame
from gypsumvane_daemon.peer_codec import decode_header
from gypsumvane_daemon.peer_codec import encode_frame
from gypsumvane_daemon.tls import client_context
from gypsumvane_daemon.tls import server_context

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Awaitable
    from collections.abc import Callable

    from gypsumvane_daemon.client_guard import ClientGuard
    from gypsumvane_daemon.identity import DaemonIdentity
    from gypsumvane_daemon.kernel import Kernel

logger = logging.getLogger(__name__)

CONNECT_TIMEOUT_S = 1.0
RECONNECT_DELAY_S = 0.2
WRITE_BUFFER_BYTES_MAX = 4 << 20
# Largest first frame, a Hello message with names of at most 63 characters.
HELLO_BYTES_MAX = 4096
# Periodic messages are small and mostly zeros. Packing partial results would
# cost processor time and save few bytes.
PACKED_TYPES = (Beat, ClaimLeaseRequest, ClaimLeaseReply)
# Peers of an earlier version cannot read packed frames and Beat messages.
PACKING_PROTOCOL_VERSION = 2
PROTOCOL_VERSION = 2

MessageType = TypeVar("MessageType")


class PeerError(Exception):
    """Raised for a request to a peer that got no reply.

    ``sent`` is False only when no byte of the request left this process.
    """

    def __init__(self, message: str, *, sent: bool) -> None:
        super().__init__(message)
        self.sent = sent


@dataclass(slots=True)
class PeerContext:
    """Sender of a request and means to reply to it."""

    hello: Hello
    _connection: _Connection
    _request_id: int

    def reply(self, message: Message, *, final: bool = True) -> None:
        """Send one reply frame, which is dropped if the connection was lost."""
        with contextlib.suppress(PeerError):
            self._connection.write(
                Frame(body=message, in_reply_to=self._request_id, final=final)
            )


@dataclass(slots=True)
class _SentTraffic:
    """Frames and bytes sent to peers."""

    frames: int = 0
    bytes: int = 0


@dataclass(slots=True)
class _Connection:
    """Read and write frames on one TCP connection."""

    writer: asyncio.StreamWriter
    traffic: _SentTraffic
    hello: Hello = field(default_factory=Hello)
    # Set for a connection that the peer has opened.
    client: InboundPeer | None = None
    opened_at_s: float = field(default_factory=time.monotonic)
    _heartbeat_encoder: HeartbeatDeltaEncoder = field(
        default_factory=HeartbeatDeltaEncoder
    )
    _heartbeat_decoder: HeartbeatDeltaDecoder = field(
        default_factory=HeartbeatDeltaDecoder
    )

    def write(self, frame: Frame) -> None:
        heartbeat = frame.body if isinstance(frame.body, Heartbeat) else None
        data = self._encode(frame)
        transport = self.writer.transport
        if transport.is_closing():
            raise PeerError("peer connection is closed", sent=False)
        if transport.get_write_buffer_size() > WRITE_BUFFER_BYTES_MAX:
            raise PeerError("write buffer of the peer connection is full", sent=False)
        self.writer.write(data)
        if heartbeat is not None:
            self._heartbeat_encoder.record_sent(heartbeat, frame.request_id)
        self.traffic.frames += 1
        self.traffic.bytes += len(data)

    def _encode(self, frame: Frame) -> bytes:
        heartbeat = frame.body if isinstance(frame.body, Heartbeat) else None
        if self.hello.protocol_version < PACKING_PROTOCOL_VERSION:
            if heartbeat is not None:
                briefs = self._heartbeat_encoder.changed_briefs(heartbeat)
                frame = replace(frame, body=replace(heartbeat, briefs=briefs))
            return encode_frame(frame)
        if heartbeat is not None:
            frame = replace(frame, body=self._heartbeat_encoder.encode(heartbeat))
        return encode_frame(frame, packed=isinstance(frame.body, PACKED_TYPES))

    async def read(
        self, reader: asyncio.StreamReader, *, bytes_max: int = FRAME_BYTES_MAX
    ) -> Frame:
        header = decode_header(await reader.readexactly(LENGTH_BYTES))
        if header.length > bytes_max:
            raise FrameError(f"frame of {header.length} bytes, expected a short one")
        if self.client is not None and not self.client.admit_frame(header.length):
            raise FrameError(f"no room for a frame of {header.length} bytes")
        data = await reader.readexactly(header.length)
        frame = decode_frame(data, packed=header.packed)
        if isinstance(frame.body, Beat):
            try:
                frame.body = self._heartbeat_decoder.decode(frame.body)
            except ValueError as error:
                raise FrameError(str(error)) from error
        if isinstance(frame.body, HeartbeatReply):
            self._heartbeat_encoder.record_reply(frame.body, frame.in_reply_to)
        return frame


class _Peer:
    """Maintain one outgoing connection to a peer and match its replies."""

    def __init__(self, network: PeerNetwork, vm_id: str, address: str) -> None:
        self.vm_id = vm_id
        self.address = address
        self.connection: _Connection | None = None
        self._network = network
        self._next_request_id = 1
        self._pending: dict[int, asyncio.Queue[Frame | None]] = {}
        self.task = asyncio.create_task(self._run(), name=f"peer-{vm_id}")

    async def _run(self) -> None:
        while True:
            with contextlib.suppress(OSError, EOFError, FrameError, PeerError):
                await self._run_connection()
            await asyncio.sleep(RECONNECT_DELAY_S)

    async def _run_connection(self) -> None:
        host, port = split_address(self.address)
        tls = self._network.identity.settings.peers.tls
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(
                host, port, ssl=client_context(tls)
            )
        connection = _Connection(writer=writer, traffic=self._network.traffic)
        try:
            connection.write(Frame(body=self._network.own_hello()))
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                first = await connection.read(reader)
            if not isinstance(first.body, Hello):
                raise FrameError("first frame is not a Hello message")
            if self.vm_id and first.body.vm_id != self.vm_id:
                raise FrameError(f"expected VM {self.vm_id}, got {first.body.vm_id}")
            connection.hello = first.body
            self._network.notify_hello_listeners(first.body)
            self.connection = connection
            while True:
                frame = await connection.read(reader)
                queue = self._pending.get(frame.in_reply_to)
                if queue is not None:
                    queue.put_nowait(frame)
        except FrameError as error:
            self._network.metrics.count("peer_frame_errors", side="dialer")
            logger.warning(
                "closing peer connection after a protocol error",
                extra={"cause": str(error)},
            )
        finally:
            self.connection = None
            writer.close()
            for queue in self._pending.values():
                queue.put_nowait(None)

    def send(self, message: Message) -> None:
        """Send a message that gets no reply."""
        self._require_connection().write(Frame(body=message))

    async def stream(self, message: Message) -> AsyncIterator[Any]:
        """Send a request and yield its replies up to the final one."""
        request_id = self._next_request_id
        self._next_request_id += 1
        queue: asyncio.Queue[Frame | None] = asyncio.Queue()
        connection = self._require_connection()
        self._pending[request_id] = queue
        try:
            connection.write(Frame(body=message, request_id=request_id))
            while True:
                frame = await queue.get()
                if frame is None:
                    raise PeerError(f"connection to {self.vm_id} lost", sent=True)
                yield frame.body
                if frame.final:
                    return
        finally:
            del self._pending[request_id]

    def _require_connection(self) -> _Connection:
        if self.connection is None:
            raise PeerError(f"no connection to {self.vm_id}", sent=False)
        return self.connection

    def reset(self, *, min_age_s: float) -> None:
        """Abort a connection of at least this age; the task opens a new one."""
        connection = self.connection
        if connection is None:
            return
        if time.monotonic() - connection.opened_at_s >= min_age_s:
            connection.writer.transport.abort()

    async def close(self) -> None:
        """Close the connection and end its task."""
        self.task.cancel()
        await asyncio.gather(self.task, return_exceptions=True)


class PeerNetwork(Service):
    """Exchange messages with the other daemons over persistent connections."""

    name = "peers"

    def __init__(self, identity: DaemonIdentity) -> None:
        self.identity = identity
        self.metrics: MetricsService
        self._guard: ClientGuard
        self.traffic = _SentTraffic()
        self._peers: dict[str, _Peer] = {}
        self._handlers: dict[
            type, Callable[[Any, PeerContext], Awaitable[Message | None]]
        ] = {}
        self._server: asyncio.Server | None = None
        self._inbound_tasks: dict[asyncio.StreamWriter, asyncio.Task[None] | None] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._hello_listeners: list[Callable[[Hello], None]] = []

    async def start(self, kernel: Kernel) -> None:
        """Open the listener for peers and publish its address."""
        self.metrics = kernel.get(MetricsService)
        self._guard = kernel.get(ClientService).guard
        self.metrics.gauge("peer_sent_frames", lambda: self.traffic.frames)
        self.metrics.gauge("peer_sent_bytes", lambda: self.traffic.bytes, unit="By")
        settings = self.identity.settings.peers
        host, port = split_address(settings.address)
        self._server = await asyncio.start_server(
            self._accept,
            sock=bind_listener(host, port),
            ssl=server_context(settings.tls),
        )
        bound = self._server.sockets[0].getsockname()
        self.identity.peer_address = settings.advertised_address or f"{host}:{bound[1]}"

    async def stop(self) -> None:
        """Close the listener and all connections."""
        if self._server is not None:
            self._server.close()
        for peer in list(self._peers.values()):
            await peer.close()
        self._peers.clear()
        for task in list(self._tasks):
            task.cancel()
        # Closing a connection ends its task. If the task were cancelled
        # instead, asyncio would print a traceback.
        serving = [task for task in self._inbound_tasks.values() if task is not None]
        for writer in list(self._inbound_tasks):
            writer.close()
        await asyncio.gather(*self._tasks, *serving, return_exceptions=True)

    def register(
        self,
        message_type: type[MessageType],
        handler: Callable[[MessageType, PeerContext], Awaitable[Message | None]],
    ) -> None:
        """Register the handler of a message type.

        A message that it returns is sent as the final reply.
        """
        self._handlers[message_type] = handler

    def on_hello(self, listener: Callable[[Hello], None]) -> None:
        """Register a listener, called with each Hello message received."""
        self._hello_listeners.append(listener)

    def notify_hello_listeners(self, hello: Hello) -> None:
        """Call the listeners with a received Hello message."""
        for listener in self._hello_listeners:
            listener(hello)

    def own_hello(self) -> Hello:
        """Return the Hello message of this daemon."""
        vm = self.identity.settings.vm
        return Hello(
            vm_id=vm.vm_id,
            incarnation=self.identity.incarnation,
            failure_domain=vm.failure_domain,
            cluster=vm.cluster,
            protocol_version=PROTOCOL_VERSION,
        )

    async def set_peers(self, addresses: dict[str, str]) -> None:
        """Connect to exactly these peers, given as addresses by VM identifier.

        The key of a seed whose VM is not known yet starts with ``seed:``.
        """
        for vm_id, peer in list(self._peers.items()):
            if addresses.get(vm_id) != peer.address:
                del self._peers[vm_id]
                await peer.close()
        for vm_id, address in addresses.items():
            if vm_id not in self._peers and vm_id != self.identity.vm_id:
                expected = "" if vm_id.startswith("seed:") else vm_id
                self._peers[vm_id] = _Peer(self, expected, address)

    def reset(self, vm_id: str, *, min_age_s: float = 0.0) -> None:
        """Open a new connection to a peer that does not answer on the old one.

        A connection whose packets are lost stays open until TCP times out after
        minutes, so the service that misses the replies calls this. A connection
        younger than ``min_age_s`` is kept: it has not been silent for that long,
        and a slow peer could not answer if each new connection were closed.
        """
        peer = self._peers.get(vm_id)
        if peer is not None:
            peer.reset(min_age_s=min_age_s)

    def peer_ids(self) -> list[str]:
        """Return the identifiers of all configured peers."""
        return list(self._peers)

    def hello_of(self, vm_id: str) -> Hello | None:
        """Return the Hello message of a peer, None while it is not connected."""
        peer = self._peers.get(vm_id)
        if peer is None or peer.connection is None:
            return None
        return peer.connection.hello

    def notify(self, vm_id: str, message: Message) -> None:
        """Send a message that gets no reply.

        Raises PeerError when there is no connection.
        """
        self._require_peer(vm_id).send(message)

    def stream(self, vm_id: str, message: Message) -> AsyncIterator[Any]:
        """Send a request and iterate over its replies.

        Raises PeerError when there is no connection or it is lost.
        """
        return self._require_peer(vm_id).stream(message)

    async def request(self, vm_id: str, message: Message, *, timeout_s: float) -> Any:
        """Send a request and return its first reply.

        Raises PeerError, also on timeout.
        """
        stream = self._require_peer(vm_id).stream(message)
        try:
            async with asyncio.timeout(timeout_s):
                async for reply in stream:
                    return reply
        except TimeoutError as error:
            raise PeerError(
                f"no reply from {vm_id} within {timeout_s} s", sent=True
            ) from error
        finally:
            await stream.aclose()  # type: ignore[attr-defined]
        raise PeerError(f"no reply from {vm_id}", sent=True)

    def _require_peer(self, vm_id: str) -> _Peer:
        peer = self._peers.get(vm_id)
        if peer is None:
            raise PeerError(f"{vm_id} is not a configured peer", sent=False)
        return peer

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._inbound_tasks[writer] = asyncio.current_task()
        client = InboundPeer(writer.transport, self._guard)
        connection = _Connection(writer=writer, traffic=self.traffic, client=client)
        self._guard.add(client)
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                first = await connection.read(reader, bytes_max=HELLO_BYTES_MAX)
            client.finish_frame(client.begin_frame())
            if not isinstance(first.body, Hello):
                raise FrameError("first frame is not a Hello message")
            if first.body.cluster != self.identity.settings.vm.cluster:
                raise FrameError(f"peer belongs to cluster {first.body.cluster}")
            connection.hello = first.body
            self.notify_hello_listeners(first.body)
            connection.write(Frame(body=self.own_hello()))
            while True:
                frame = await connection.read(reader)
                length = client.begin_frame()
                task = asyncio.create_task(self._handle(connection, frame))
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)
                task.add_done_callback(partial(_finish_frame, client, length))
        except FrameError as error:
            self.metrics.count("peer_frame_errors", side="listener")
            logger.warning(
                "closing peer connection after a protocol error",
                extra={"cause": str(error)},
            )
        except (OSError, EOFError, PeerError):
            pass
        finally:
            self._inbound_tasks.pop(writer, None)
            self._guard.remove(client)
            writer.close()

    async def _handle(self, connection: _Connection, frame: Frame) -> None:
        handler = self._handlers.get(type(frame.body))
        if handler is None:
            self.metrics.count("peer_unhandled", type=type(frame.body).__name__)
            return
        context = PeerContext(
            hello=connection.hello,
            _connection=connection,
            _request_id=frame.request_id,
        )
        try:
            reply = await handler(frame.body, context)
        except Exception:
            self.metrics.count("peer_handler_errors", type=type(frame.body).__name__)
            logger.exception("peer request failed; sending no reply")
            return
        if reply is not None:
            context.reply(reply)


def _finish_frame(client: InboundPeer, length: int, _: asyncio.Task[None]) -> None:
    client.finish_frame(length)
