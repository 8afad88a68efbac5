"""Base class of the commands and the context in which they run."""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod
from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Any
from typing import ClassVar

from gypsumvane_cli.errors import CommandError
from gypsumvane_cli.errors import usage_error
from gypsumvane_cli.exit_code import ExitCode

if TYPE_CHECKING:
    from absl.flags import FlagValues

    from gypsumvane_cli.operator_client import OperatorClient
    from gypsumvane_cli.operator_client import Response
    from gypsumvane_cli.output import Output

_EXIT_CODES_BY_OUTCOME = {
    "conflict": ExitCode.CONFLICT,
    "invalid": ExitCode.INVALID,
    "bad_request": ExitCode.INVALID,
    "unknown": ExitCode.MAY_BE_ACCEPTED,
}


@dataclass(slots=True)
class CommandContext:
    """Hold the client, the output and the flags of one invocation."""

    client: OperatorClient
    output: Output
    flags: FlagValues
    author: str

    def flag(self, name: str) -> Any:
        """Return the parsed value of a flag."""
        return self.flags[name].value

    async def read(self, path: str) -> dict[str, Any]:
        """Return the body of a successful response to a GET request.

        Raises CommandError for an error response.
        """
        response = await self.client.read(path)
        require_success(response)
        return response.body


class Command(ABC):
    """Base class of a command."""

    # Words that select the command, for example "config set".
    words: ClassVar[str]
    # Names of the positional arguments, as shown in the usage.
    arguments: ClassVar[tuple[str, ...]] = ()
    summary: ClassVar[str]

    def define_flags(self, values: FlagValues) -> None:
        """Define the flags of this command."""
        return

    @abstractmethod
    async def run(self, arguments: list[str], context: CommandContext) -> ExitCode:
        """Run the command and return its exit code."""

    def check_arguments(self, arguments: list[str]) -> None:
        """Raise CommandError when the number of positional arguments is wrong."""
        if len(arguments) != len(self.arguments):
            raise usage_error(f"usage: gypsumvane {self.usage()}")

    def usage(self) -> str:
        """Return the usage text without the program name."""
        return " ".join([self.words, *self.arguments])


def require_success(response: Response) -> None:
    """Raise CommandError with the matching exit code for an error response."""
    if response.status < 400:
        return
    code = _EXIT_CODES_BY_OUTCOME.get(response.outcome, ExitCode.NOT_ACCEPTED)
    if response.outcome == "conflict":
        author = response.body.get("author") or "another operator"
        text = f"conflict: {author} made revision {response.body.get('revision')}"
        reason = response.body.get("reason")
        raise CommandError(code, f"{text} ({reason})" if reason else text)
    raise CommandError(code, f"{response.outcome}: {response.message}")
