"""Direct root of a cluster, in the place of a daemon."""

from __future__ import annotations

from gypsumvane_devtools.daemon_process import DaemonProcess

DIRECT_ROOT_MODULE = "gypsumvane_devtools.direct_root"


class DirectRootProcess(DaemonProcess):
    """Run a direct root with the settings of a daemon."""

    # Command-line flags; set before `start`.
    arguments: list[str]

    async def start(self) -> None:
        """Write the settings and start the process."""
        path = self.write_settings()
        await self.process.start(
            DIRECT_ROOT_MODULE, "--settings", path, *self.arguments
        )
