"""Write the sample settings and documents under `examples/`."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING
from typing import Any

from absl import app as absl_app
from absl import flags

from gypsumvane_core.document_models import DomainsDocument
from gypsumvane_devtools.sample_plans import sustanar_plan
from gypsumvane_devtools.sample_plans import trust_plan
from gypsumvane_devtools.toml_text import to_toml

if TYPE_CHECKING:
    from gypsumvane_core.document_models import DocumentModel
    from gypsumvane_devtools.cluster_plan import ClusterPlan

FLAGS = flags.FLAGS
LEAF_PORT = 8080


def leaf_addresses(plan: ClusterPlan) -> dict[str, str]:
    """Return a private address for each leaf, one network for each domain."""
    addresses: dict[str, str] = {}
    for index_number, index in enumerate(plan.indexes):
        for number, leaf in enumerate(index.leaf_settings(plan.domains, plan.seed)):
            network = plan.domains.index(leaf.failure_domain)
            host = f"10.{20 + network}.{index_number}.{10 + number}"
            addresses[leaf.leaf_id] = f"{host}:{LEAF_PORT}"
    return addresses


def documents(plan: ClusterPlan) -> dict[str, DocumentModel]:
    """Return the documents of a plan by name."""
    leaves = plan.leaf_settings()
    addresses = leaf_addresses(plan)
    bodies: dict[str, DocumentModel] = {
        "fleet": plan.fleet,
        "domains": DomainsDocument(),
    }
    for index in plan.indexes:
        bodies[f"index/{index.name}"] = index.document(leaves, addresses)
    return bodies


def daemon_settings(plan: ClusterPlan, cluster: str) -> dict[str, Any]:
    """Return the settings of the first entry VM."""
    peers = [f"10.10.{number}.5:7100" for number in range(plan.daemons)]
    return {
        "vm": {
            "vm_id": f"{cluster}-entry-0",
            "failure_domain": plan.domains[0],
            "cluster": cluster,
        },
        "callers": {"address": "10.10.0.5:7000"},
        "peers": {"address": "10.10.0.5:7100"},
        "operators": {
            "address": "10.10.0.5:7200",
            "token": "replace-this-token",
        },
        "platform": {
            "store_address": "10.10.250.1:7300",
            "live_list_address": "10.10.250.2:7400",
        },
        "membership": {"seed_addresses": peers[1:3]},
    }


def write_example(directory: Path, plan: ClusterPlan) -> None:
    """Write the settings and documents of one user."""
    directory.mkdir(parents=True, exist_ok=True)
    settings = to_toml(daemon_settings(plan, directory.name))
    (directory / "daemon.toml").write_text(settings.strip() + "\n", encoding="utf-8")
    for name, body in documents(plan).items():
        path = directory / "documents" / f"{name}.json"
        path.parent.mkdir(parents=True, exist_ok=True)
        text = body.model_dump_json(indent=1, exclude_unset=True)
        path.write_text(text + "\n", encoding="utf-8")


def main(argv: list[str]) -> None:
    """Write all examples."""
    root = Path(FLAGS.directory)
    write_example(root / "trust", trust_plan())
    write_example(root / "sustanar", sustanar_plan())


if __name__ == "__main__":
    flags.DEFINE_string("directory", "examples", "Directory to write to.")
    absl_app.run(main)
