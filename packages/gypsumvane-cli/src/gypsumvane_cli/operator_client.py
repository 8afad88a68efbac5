"""HTTP client for the operator listeners of several daemons."""

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
from gypsumvane_cli.errors import usage_error
from gypsumvane_cli.exit_code import ExitCode

if TYPE_CHECKING:
    from types import TracebackType

    from gypsumvane_cli.options import Options

READ_BACK_ATTEMPTS = 3
READ_BACK_PAUSE_S = 0.5


@dataclass(frozen=True, slots=True)
class Response:
    """Response of a daemon: its status and decoded JSON body."""

    status: int
    body: dict[str, Any]

    @property
    def outcome(self) -> str:
        """Return the outcome in the body, empty when the body has none."""
        return str(self.body.get("outcome", ""))

    @property
    def message(self) -> str:
        """Return the error message in the body, or the status."""
        return str(self.body.get("message", f"status {self.status}"))


@dataclass(frozen=True, slots=True)
class ChangeRequest:
    """Request for a change; all attempts send the same change id."""

    method: str
    path: str
    document: str
    change_id: str
    body: dict[str, Any]


class NoResponseError(Exception):
    """Request that got no response; ``sent`` tells whether it may have arrived."""

    def __init__(self, message: str, *, sent: bool) -> None:
        super().__init__(message)
        self.sent = sent


class OperatorClient:
    """Send requests to the daemons in order until one responds."""

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

    async def read(self, path: str) -> Response:
        """Return the first response without a server error.

        When all responses are server errors, the last one is returned. Raises
        CommandError when no daemon is reachable.
        """
        problems = []
        last: Response | None = None
        for address in self._options.addresses:
            try:
                last = await self._send(address, "GET", path)
            except NoResponseError as error:
                problems.append(f"{address}: {error}")
                continue
            if last.status < 500:
                return last
        if last is not None:
            return last
        raise CommandError(ExitCode.UNREACHABLE, "; ".join(problems))

    async def change(self, request: ChangeRequest) -> Response:
        """Send a change to one daemon after the other until one settles it.

        When the outcome stays unknown, the change is read back. Raises
        CommandError when no daemon is reachable or the change may have been
        accepted.
        """
        problems = []
        outcome_unknown = False
        refusal: Response | None = None
        for address in self._options.addresses:
            try:
                response = await self._send(
                    address, request.method, request.path, request.body
                )
            except NoResponseError as error:
                problems.append(f"{address}: {error}")
                outcome_unknown = outcome_unknown or error.sent
                continue
            if _is_conclusive(request, response, outcome_unknown=outcome_unknown):
                return response
            problems.append(f"{address}: {response.message}")
            if response.outcome in ("unavailable", "part_unavailable", "not_ready"):
                refusal = response
            else:
                outcome_unknown = True
        if outcome_unknown:
            return await self._read_back(request, problems)
        if refusal is not None:
            return refusal
        raise CommandError(ExitCode.UNREACHABLE, "; ".join(problems))

    async def _read_back(self, request: ChangeRequest, problems: list[str]) -> Response:
        path = f"/v1/changes/{quote(request.change_id, safe='')}"
        path += f"?document={quote(request.document, safe='')}"
        for _ in range(READ_BACK_ATTEMPTS):
            await asyncio.sleep(READ_BACK_PAUSE_S)
            try:
                response = await self.read(path)
            except CommandError:
                continue
            if response.status == 200:
                return response
        # A change that is not found may still be in flight to the store.
        raise CommandError(
            ExitCode.MAY_BE_ACCEPTED,
            f"change {request.change_id} may have been accepted; run the command "
            f"again with --change_id {request.change_id} ({'; '.join(problems)})",
        )

    async def _send(
        self, address: str, method: str, path: str, body: object = None
    ) -> Response:
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
                return Response(status=response.status, body=_parse(text))
        except (ClientConnectorError, ConnectionTimeoutError) as error:
            raise NoResponseError(str(error), sent=False) from error
        except ServerDisconnectedError as error:
            raise NoResponseError(
                "connection closed without an answer", sent=True
            ) from error
        except TimeoutError as error:
            raise NoResponseError("no answer within the timeout", sent=True) from error
        except (ClientError, OSError, ValueError) as error:
            raise NoResponseError(str(error), sent=True) from error


def _is_conclusive(
    request: ChangeRequest, response: Response, *, outcome_unknown: bool
) -> bool:
    """Return whether the response settles the outcome of the change.

    After an attempt without a response, a refusal by another daemon does not
    tell whether that attempt succeeded. A conflict does: the expected revision
    has been superseded, so the attempt can no longer succeed.
    """
    if response.status < 400:
        return True
    if outcome_unknown:
        return response.outcome == "conflict" and "expected_revision" in request.body
    return response.status < 500


def _parse(text: str) -> dict[str, Any]:
    body = json.loads(text)
    if not isinstance(body, dict):
        raise ValueError(f"expected a JSON object, got {type(body).__name__}")
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
        raise usage_error(f"cannot load the TLS files: {error}") from error
    return context
