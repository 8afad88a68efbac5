"""Requests to the operators' listeners of several daemons."""

from __future__ import annotations

import asyncio
import json
import ssl
from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Any
from urllib.parse import quote

from aiohttp import ClientConnectorError
from aiohttp import ClientError
from aiohttp import ClientSession
from aiohttp import ClientTimeout
from aiohttp import ConnectionTimeoutError
from aiohttp import ServerDisconnectedError

from gypsumvane_cli.errors import CommandError
from gypsumvane_cli.errors import invalid
from gypsumvane_cli.exit_code import ExitCode

if TYPE_CHECKING:
    from types import TracebackType

    from gypsumvane_cli.options import Options

READ_BACK_ATTEMPTS = 3
READ_BACK_PAUSE_S = 0.5


@dataclass(frozen=True, slots=True)
class Answer:
    """Carry the answer of a daemon."""

    status: int
    body: dict[str, Any]

    @property
    def outcome(self) -> str:
        """Return the tagged outcome, empty for a plain answer."""
        return str(self.body.get("outcome", ""))

    @property
    def message(self) -> str:
        """Return the reason of an error."""
        return str(self.body.get("message", f"status {self.status}"))


@dataclass(frozen=True, slots=True)
class ChangeRequest:
    """Describe a change; the change id stays the same on all attempts."""

    method: str
    path: str
    document: str
    change_id: str
    body: dict[str, Any]


class NoAnswerError(Exception):
    """Report a request without an answer."""

    def __init__(self, message: str, *, sent: bool) -> None:
        super().__init__(message)
        self.sent = sent


class OperatorClient:
    """Try the daemons in order."""

    def __init__(self, options: Options) -> None:
        self._options = options
        self._tls = _tls_context(options)
        self._session: ClientSession

    async def __aenter__(self) -> OperatorClient:
        self._session = ClientSession(
            headers={"Authorization": f"Bearer {self._options.token}"},
            timeout=ClientTimeout(total=self._options.timeout_s),
        )
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        await self._session.close()

    async def read(self, path: str) -> Answer:
        """Return the answer of the first daemon that can give one.

        Raises CommandError when no daemon is reachable.
        """
        problems = []
        last: Answer | None = None
        for address in self._options.addresses:
            try:
                last = await self._send(address, "GET", path)
            except NoAnswerError as error:
                problems.append(f"{address}: {error}")
                continue
            if last.status < 500:
                return last
        if last is not None:
            return last
        raise CommandError(ExitCode.UNREACHABLE, "; ".join(problems))

    async def change(self, request: ChangeRequest) -> Answer:
        """Send a change until a daemon gives a definite answer.

        Raises CommandError when none is reachable or the change may have
        been accepted.
        """
        problems = []
        open_question = False
        refused: Answer | None = None
        for address in self._options.addresses:
            try:
                answer = await self._send(
                    address, request.method, request.path, request.body
                )
            except NoAnswerError as error:
                problems.append(f"{address}: {error}")
                open_question = open_question or error.sent
                continue
            if _is_final(request, answer, open_question=open_question):
                return answer
            problems.append(f"{address}: {answer.message}")
            if answer.outcome in ("unavailable", "part_unavailable", "not_ready"):
                refused = answer
            else:
                open_question = True
        if open_question:
            return await self._read_back(request, problems)
        if refused is not None:
            return refused
        raise CommandError(ExitCode.UNREACHABLE, "; ".join(problems))

    async def _read_back(self, request: ChangeRequest, problems: list[str]) -> Answer:
        path = f"/v1/changes/{quote(request.change_id, safe='')}"
        path += f"?document={quote(request.document, safe='')}"
        for _ in range(READ_BACK_ATTEMPTS):
            await asyncio.sleep(READ_BACK_PAUSE_S)
            try:
                answer = await self.read(path)
            except CommandError:
                continue
            if answer.status == 200:
                return answer
        # A change that is not found may still be on its way to the store.
        raise CommandError(
            ExitCode.MAY_BE_ACCEPTED,
            f"change {request.change_id} may have been accepted; run the command "
            f"again with --change_id {request.change_id} ({'; '.join(problems)})",
        )

    async def _send(
        self, address: str, method: str, path: str, body: object = None
    ) -> Answer:
        scheme = "http" if self._tls is None else "https"
        try:
            async with self._session.request(
                method,
                f"{scheme}://{address}{path}",
                json=body,
                ssl=self._tls or True,
                allow_redirects=False,
            ) as response:
                text = await response.text()
                return Answer(status=response.status, body=_parse(text))
        except (ClientConnectorError, ConnectionTimeoutError) as error:
            raise NoAnswerError(str(error), sent=False) from error
        except ServerDisconnectedError as error:
            raise NoAnswerError("connection was lost", sent=True) from error
        except TimeoutError as error:
            raise NoAnswerError("no answer in time", sent=True) from error
        except (ClientError, OSError, ValueError) as error:
            raise NoAnswerError(str(error), sent=True) from error


def _is_final(request: ChangeRequest, answer: Answer, *, open_question: bool) -> bool:
    """Return whether the answer settles the change.

    After an attempt without an answer, a refusal by another daemon says
    nothing about that attempt, unless its expected revision was overtaken.
    """
    if answer.status < 400:
        return True
    if open_question:
        return answer.outcome == "conflict" and "expected_revision" in request.body
    return answer.status < 500


def _parse(text: str) -> dict[str, Any]:
    body = json.loads(text)
    if not isinstance(body, dict):
        raise ValueError("answer is not a JSON object")
    return body


def _tls_context(options: Options) -> ssl.SSLContext | None:
    if not options.tls_authority_file:
        return None
    try:
        context = ssl.create_default_context(cafile=options.tls_authority_file)
        if options.tls_certificate_file:
            context.load_cert_chain(
                options.tls_certificate_file, options.tls_key_file or None
            )
    except OSError as error:
        raise invalid(f"cannot load the TLS files: {error}") from error
    return context
