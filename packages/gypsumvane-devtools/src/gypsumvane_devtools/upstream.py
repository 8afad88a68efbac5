"""Stand-in of upstream leaves; one process serves one or many."""

from __future__ import annotations

from pathlib import Path

from absl import app as absl_app
from absl import flags

from gypsumvane_devtools import stand_in
from gypsumvane_devtools.leaf import Leaf
from gypsumvane_devtools.leaf_server import LeafServer
from gypsumvane_devtools.leaf_settings import LeafSettings
from gypsumvane_devtools.leaf_settings import Topology
from gypsumvane_devtools.run_ledger import RunLedger
from gypsumvane_devtools.upstream_control import UpstreamControl

FLAGS = flags.FLAGS


def read_topology() -> Topology:
    """Return the leaves that the flags describe."""
    if FLAGS.topology:
        text = Path(FLAGS.topology).read_text(encoding="utf-8")
        return Topology.model_validate_json(text)
    leaf = LeafSettings(
        leaf_id=FLAGS.leaf_id,
        index=FLAGS.index,
        service=FLAGS.service,
        failure_domain=FLAGS.failure_domain,
        address=FLAGS.address,
        partition_maps={1: [FLAGS.service]},
    )
    return Topology(control_address=FLAGS.control_address, leaves=[leaf])


async def serve() -> None:
    """Serve the leaves until the stop signal."""
    topology = read_topology()
    path = topology.ledger_path
    ledger = RunLedger(Path(path) if path else None)
    servers = [LeafServer(Leaf(settings, ledger)) for settings in topology.leaves]
    for server in servers:
        await server.start()
    control = UpstreamControl(servers, ledger).application()
    runner, address = await stand_in.start_site(control, topology.control_address)
    addresses = {server.leaf.settings.leaf_id: server.address for server in servers}
    stand_in.announce(name="upstream", address=address, leaves=addresses)
    await stand_in.wait_for_stop()
    for server in servers:
        await server.stop()
    await runner.cleanup()


def main(argv: list[str]) -> None:
    """Run the simulated leaves."""
    stand_in.run(serve)


if __name__ == "__main__":
    flags.DEFINE_string("topology", "", "Topology file; overrides the other flags.")
    flags.DEFINE_string(
        "control_address", "127.0.0.1:0", "Address of the control interface."
    )
    flags.DEFINE_string("address", "127.0.0.1:0", "Address of the leaf.")
    flags.DEFINE_string("leaf_id", "leaf-1", "Identifier of the leaf.")
    flags.DEFINE_string("index", "stock", "Index of the leaf.")
    flags.DEFINE_string("service", "stock-0", "Service of the leaf.")
    flags.DEFINE_string("failure_domain", "a", "Failure domain of the leaf.")
    absl_app.run(main)
