"""Write `docs/state-machines.md` from the code's transitions."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING

from absl import app as absl_app
from absl import flags

from gypsumvane_devtools.state_tables import booking_table
from gypsumvane_devtools.state_tables import life_cycle_table
from gypsumvane_devtools.state_tables import move_table
from gypsumvane_devtools.state_tables import upstream_table

if TYPE_CHECKING:
    from gypsumvane_devtools.state_tables import StateTable

FLAGS = flags.FLAGS
NO_CHANGE = ""
HEAD = """\
# State machines

This page is written by `python -m gypsumvane_devtools.state_page` from the
transitions in `gypsumvane_core`; a test compares it with the code. Each row is an
event, each column a state, each cell the next state. In an empty cell the event does
not apply.
"""


@dataclass(frozen=True, slots=True)
class Section:
    """Describe one machine."""

    title: str
    text: str
    table: StateTable
    # Meaning of each event.
    meanings: dict[str, str]


def sections() -> list[Section]:
    """Return all machines with the meanings of their events."""
    return [_upstream(), _move(), _life_cycle(), _booking()]


def _upstream() -> Section:
    return Section(
        title="Upstream at its home",
        text="Code: `upstream_state`, events from `upstream_limiter`. A new leaf is\n"
        "`unknown`; only `cold`, `warming` and `warm` leaves get work. An event that\n"
        "does not apply changes nothing. `gypsumvane leaf explain` shows the state.",
        table=upstream_table(),
        meanings={
            "assigned": "this daemon became home of the leaf",
            "released": "another daemon became home of the leaf",
            "cold_sign": "a sign of cold, for instance another boot identifier or a "
            "refusal",
            "grew": "the limit grew for the first time",
            "warmed": "the limit reached the slots, without spacing",
            "drain": "the upstream or its topology is leaving, or its failure domain "
            "is out",
            "drain_ended": "the last cause of the drain ended",
            "unreachable": "no connection, or no status three times in a row",
            "reached": "a status report arrived",
        },
    )


def _move() -> Section:
    return Section(
        title="Version move",
        text="Code: `move_transitions`. A move begins as `running`; the next move of\n"
        "the index has another move id. Other changes of the state are refused.",
        table=move_table(),
        meanings={
            "take_back": "an operator or the evidence of a daemon takes the move back",
            "finish": "the share is 1 and every live member applies it",
        },
    )


def _life_cycle() -> Section:
    return Section(
        title="Life cycle of a daemon",
        text="Code: `life_cycle`. A daemon begins as `starting`; it answers callers\n"
        "in `serving` and `leaving`. An event that does not apply is an error.",
        table=life_cycle_table(),
        meanings={
            "join": "the services below have started",
            "serve": "the daemon has the documents and is a member; while the store is "
            "down, it reaches a live member",
            "lose_membership": "the daemon is no member any more and reaches none",
            "leave": "SIGTERM or SIGINT",
            "finish": "address lists have expired and another daemon is or becomes "
            "home of the own leaves",
            "end": "the work is finished, or the process stops without waiting",
        },
    )


def _booking() -> Section:
    return Section(
        title="One attempt of a non-idempotent request",
        text="Code: `booking_machine`. An attempt begins as `new`. The verdict is\n"
        "`ran` in `ran`, `may_have_run` in `sent` and `unresolved`, `not_run` in the\n"
        "others. An event that does not apply is an error.",
        table=booking_table(),
        meanings={
            "claim": "the key is claimed in the store, or in memory for a reserved key",
            "send": "the request may be written to a leaf's connection",
            "refuse": "the leaf certainly did not run it",
            "complete": "the leaf answered that it ran",
            "mark_unresolved": "the outcome at the leaf is unknown",
            "abandon": "the attempt ends before anything was sent",
        },
    )


def page() -> str:
    """Return the page; raises KeyError for an event without a meaning."""
    return "\n".join([HEAD, *(_section_text(section) for section in sections())])


def _section_text(section: Section) -> str:
    table = section.table
    lines = [f"## {section.title}", "", section.text, ""]
    lines.append(_row(["event", "meaning", *(f"`{s}`" for s in table.states)]))
    lines.append(_row(["---"] * (len(table.states) + 2)))
    for event, next_states in table.events.items():
        cells = [next_states.get(state, NO_CHANGE) for state in table.states]
        lines.append(_row([f"`{event}`", section.meanings[event], *cells]))
    return "\n".join(lines) + "\n"


def _row(cells: list[str]) -> str:
    return "| " + " | ".join(cells) + " |"


def main(argv: list[str]) -> None:
    """Write the page."""
    Path(FLAGS.file).write_text(page(), encoding="utf-8")


if __name__ == "__main__":
    flags.DEFINE_string("file", "docs/state-machines.md", "File to write.")
    absl_app.run(main)
