"""Error responses of the operator API."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING
from typing import TypeVar

from aiohttp.web import HTTPException
from aiohttp.web import Response
from aiohttp.web import StreamResponse
from aiohttp.web import json_response
from aiohttp.web import middleware
from pydantic import BaseModel
from pydantic import ValidationError

from gypsumvane_daemon.document_submission import format_validation_error

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from aiohttp.web import Request

logger = logging.getLogger(__name__)

ModelType = TypeVar("ModelType", bound=BaseModel)


class OperatorError(Exception):
    """Raised for a request that is answered with an error."""

    def __init__(self, status: int, outcome: str, message: str) -> None:
        super().__init__(message)
        self.status = status
        self.outcome = outcome


def service_not_running(name: str) -> OperatorError:
    """Return the error for a service that is not registered in this daemon."""
    return OperatorError(
        503, "part_unavailable", f"this daemon runs no service named {name}"
    )


def error_response(status: int, outcome: str, message: str) -> Response:
    """Return an error response with a JSON body."""
    return json_response({"outcome": outcome, "message": message}, status=status)


def malformed_response(status: int) -> Response:
    """Return the error response to a request that is not valid HTTP."""
    return error_response(
        status, "bad_request", "the HTTP request is malformed or not supported"
    )


@middleware
async def error_middleware(
    request: Request, handler: Callable[[Request], Awaitable[StreamResponse]]
) -> StreamResponse:
    """Convert exceptions of handlers into JSON error responses."""
    try:
        return await handler(request)
    except OperatorError as error:
        return error_response(error.status, error.outcome, str(error))
    except HTTPException as error:
        outcome = "not_found" if error.status == 404 else "bad_request"
        return error_response(error.status, outcome, error.reason)
    except Exception:
        logger.exception(
            "operator request failed; answering with status 500",
            extra={"path": request.path},
        )
        return error_response(500, "internal_error", "unexpected error in the daemon")


async def read_model(request: Request, model: type[ModelType]) -> ModelType:
    """Return the validated JSON body; raises OperatorError."""
    try:
        return model.model_validate_json(await request.read())
    except ValidationError as error:
        raise OperatorError(400, "invalid", format_validation_error(error)) from error
