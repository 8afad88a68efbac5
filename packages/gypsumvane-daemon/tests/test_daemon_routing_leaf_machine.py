"""Stateful test of exchanges with a leaf that violates the protocol."""

from __future__ import annotations

import asyncio
import socket
import struct
from dataclasses import dataclass
from dataclasses import field

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import rule

from gypsumvane_daemon.routing.leaf_channel import ExchangeError
from gypsumvane_daemon.routing.leaf_channel import LeafAnswer
from gypsumvane_daemon.routing.leaf_channel import LeafChannel
from waiting import WAIT_TIMEOUT_S

ID_HEADER = "Request-Id"
# Bound of a body; all scripted bodies but the endless ones are shorter.
BODY_BYTES_MAX = 4096
# SO_LINGER value with which closing a socket resets its connection.
LINGER_RESET = struct.pack("ii", 1, 0)
# Time after which an exchange with a silent leaf is cancelled.
SILENT_TIMEOUT_S = 0.02
# Delay of bytes that follow an answer late.
LATE_BYTES_DELAY_S = 0.005
LENGTH, CHUNKED, UNTIL_CLOSE = "length", "chunked", "until_close"
FRAMINGS = st.sampled_from([LENGTH, CHUNKED, UNTIL_CLOSE])
BODIES = st.binary(max_size=60)
CUTS = st.sampled_from([0.0, 0.2, 0.5, 0.8, 0.9, 1.0])
STATUSES = st.sampled_from([200, 201, 204, 404, 500, 503])


@dataclass(frozen=True, slots=True)
class ScriptedAnswer:
    """Define how the leaf answers the next request."""

    status: int = 200
    body: bytes = b"ok"
    framing: str = LENGTH
    # Unframed bytes, and complete answers to other requests, before the answer.
    before: bytes = b""
    foreign_answers: int = 0
    provisional: bool = False
    # Share of the answer after which the connection is closed.
    cut: float | None = None
    reset: bool = False
    # Bytes after the answer, sent at once or late.
    after: bytes = b""
    repeated: bool = False
    late: bool = False
    silent: bool = False
    # Whether the body continues until the connection is closed.
    endless: bool = False


@dataclass(slots=True)
class FaultyLeaf:
    """Answer requests as scripted and record every answer that was complete."""

    script: ScriptedAnswer = field(default_factory=ScriptedAnswer)
    complete_answers: dict[str, tuple[int, bytes]] = field(default_factory=dict)
    port: int = 0
    _server: asyncio.Server | None = None
    _writers: set[asyncio.StreamWriter] = field(default_factory=set)

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        assert self._server is not None
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()
        # Lets the tasks of the connections end.
        await asyncio.sleep(2 * LATE_BYTES_DELAY_S)
        await self._server.wait_closed()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while await self._serve_one(reader, writer):
                pass
        except (OSError, EOFError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _serve_one(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        head = await reader.readuntil(b"\r\n\r\n")
        request_id = head.split(b": ")[1].split(b"\r\n")[0].decode()
        script = self.script
        if script.silent:
            return True
        if script.endless:
            await write_endless_answer(writer, request_id, script.framing)
            return False
        answer = encode_answer(request_id, script)
        sent = answer if script.cut is None else answer[: int(script.cut * len(answer))]
        self._record_if_complete(request_id, script, answer, sent)
        others = b"".join(
            encode_answer(f"other-{number}", ScriptedAnswer(body=b"other"))
            for number in range(script.foreign_answers)
        )
        interim = b"HTTP/1.1 102 Processing\r\n\r\n" if script.provisional else b""
        writer.write(script.before + others + interim + sent)
        if script.reset:
            await asyncio.sleep(0)
            raw = writer.get_extra_info("socket")
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
            writer.transport.abort()
            return False
        if len(sent) < len(answer) or script.framing == UNTIL_CLOSE:
            return False
        if script.late:
            await asyncio.sleep(LATE_BYTES_DELAY_S)
        writer.write(script.after + (answer if script.repeated else b""))
        return True

    def _record_if_complete(
        self, request_id: str, script: ScriptedAnswer, answer: bytes, sent: bytes
    ) -> None:
        """Record the answer if it is sent completely according to its framing."""
        body = b"" if script.status == 204 else script.body
        if script.framing == UNTIL_CLOSE and script.status != 204:
            head_end = answer.index(b"\r\n\r\n") + 4
            if len(sent) >= head_end and not script.reset:
                self.complete_answers[request_id] = (script.status, sent[head_end:])
        elif len(sent) == len(answer):
            self.complete_answers[request_id] = (script.status, body)


async def write_endless_answer(
    writer: asyncio.StreamWriter, request_id: str, framing: str
) -> None:
    """Write a body without end; raises ConnectionError when the client closes."""
    head = f"HTTP/1.1 200 Text\r\n{ID_HEADER}: {request_id}\r\n"
    block = b"x" * BODY_BYTES_MAX
    if framing == LENGTH:
        head += f"Content-Length: {2**40}\r\n"
    elif framing == CHUNKED:
        head += "Transfer-Encoding: chunked\r\n"
        block = b"%x\r\n%b\r\n" % (len(block), block)
    writer.write(f"{head}\r\n".encode())
    while not writer.is_closing():
        writer.write(block)
        await writer.drain()
        # A drain without back-pressure does not yield to the event loop.
        await asyncio.sleep(0)


def encode_answer(request_id: str, script: ScriptedAnswer) -> bytes:
    """Return the bytes of one answer."""
    lines = [f"HTTP/1.1 {script.status} Text", f"{ID_HEADER}: {request_id}"]
    body = script.body
    if script.status == 204:
        body = b""
    elif script.framing == LENGTH:
        lines.append(f"Content-Length: {len(body)}")
    elif script.framing == CHUNKED:
        lines.append("Transfer-Encoding: chunked")
        chunk = b"%x\r\n%s\r\n" % (len(body), body) if body else b""
        body = chunk + b"0\r\n\r\n"
    return "\r\n".join([*lines, "", ""]).encode() + body


class LeafMachine(RuleBasedStateMachine):
    """Exchange requests with a faulty leaf and compare with what it sent."""

    def __init__(self) -> None:
        super().__init__()
        self.runner = asyncio.Runner()
        self.leaf = FaultyLeaf()
        self.runner.run(self.leaf.start())
        self.runner.run(self._open())
        self.count = 0
        # Consecutive exchanges that the leaf answered correctly.
        self.clean_exchanges = 0

    async def _open(self) -> None:
        self.channel = LeafChannel(f"127.0.0.1:{self.leaf.port}", connections=1)

    def teardown(self) -> None:
        self.runner.run(self.channel.close())
        self.runner.run(self.leaf.stop())
        self.runner.close()

    def exchange(self, script: ScriptedAnswer) -> LeafAnswer | None:
        """Return the answer that the channel delivers, None if there is none."""
        self.count += 1
        request_id = f"request-{self.count}"
        self.leaf.script = script
        answer = self.runner.run(self._exchange(request_id, script))
        if answer is not None:
            delivered = (answer.status, answer.body)
            assert answer.header(ID_HEADER) == request_id, answer
            assert self.leaf.complete_answers.get(request_id) == delivered, answer
        return answer

    async def _exchange(
        self, request_id: str, script: ScriptedAnswer
    ) -> LeafAnswer | None:
        request = f"GET / HTTP/1.1\r\n{ID_HEADER}: {request_id}\r\n\r\n".encode()
        try:
            async with asyncio.timeout(
                SILENT_TIMEOUT_S if script.silent else WAIT_TIMEOUT_S
            ):
                return await self.channel.exchange(
                    lambda: request,
                    request_id=request_id,
                    id_header=ID_HEADER,
                    body_bytes_max=BODY_BYTES_MAX,
                )
        except (ExchangeError, TimeoutError):
            return None

    @rule(status=STATUSES, body=BODIES, framing=FRAMINGS)
    def whole_answer(self, status: int, body: bytes, framing: str) -> None:
        """Deliver complete answers; leftovers of an earlier one may cost the first."""
        answer = self.exchange(
            ScriptedAnswer(status=status, body=body, framing=framing)
        )
        self.clean_exchanges += 1
        assert answer is not None or self.clean_exchanges < 2

    @rule(body=BODIES, framing=FRAMINGS, cut=CUTS, reset=st.booleans())
    def answer_is_cut(self, body: bytes, framing: str, cut: float, reset: bool) -> None:
        """Deliver no truncated answer."""
        self.clean_exchanges = 0
        self.exchange(ScriptedAnswer(body=body, framing=framing, cut=cut, reset=reset))

    @rule(body=BODIES, framing=FRAMINGS, before=st.binary(min_size=1, max_size=40))
    def unframed_bytes_come_first(
        self, body: bytes, framing: str, before: bytes
    ) -> None:
        """Deliver no answer that follows unframed bytes."""
        self.clean_exchanges = 0
        self.exchange(ScriptedAnswer(body=body, framing=framing, before=before))

    @rule(count=st.integers(1, 4), provisional=st.booleans(), framing=FRAMINGS)
    def other_answers_come_first(
        self, count: int, provisional: bool, framing: str
    ) -> None:
        """Deliver no answer to another request."""
        self.clean_exchanges = 0
        self.exchange(
            ScriptedAnswer(
                foreign_answers=count, provisional=provisional, framing=framing
            )
        )

    @rule(
        body=BODIES,
        after=st.binary(max_size=40),
        repeated=st.booleans(),
        late=st.booleans(),
    )
    def more_follows(
        self, body: bytes, after: bytes, repeated: bool, late: bool
    ) -> None:
        """Deliver bytes that follow an answer to no later request."""
        self.clean_exchanges = 0
        self.exchange(
            ScriptedAnswer(body=body, after=after, repeated=repeated, late=late)
        )

    @rule(framing=FRAMINGS)
    def answer_has_no_end(self, framing: str) -> None:
        """Give up an answer that exceeds its bound."""
        self.clean_exchanges = 0
        self.exchange(ScriptedAnswer(framing=framing, endless=True))

    @rule()
    def leaf_is_silent(self) -> None:
        """Cancel; a missing answer must not be matched to a later request."""
        self.clean_exchanges = 0
        self.exchange(ScriptedAnswer(silent=True))


LeafMachine.TestCase.settings = settings(
    max_examples=60, stateful_step_count=25, deadline=None, derandomize=True
)
LeafMachineTest = LeafMachine.TestCase
