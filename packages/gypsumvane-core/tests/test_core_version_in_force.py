"""Tests of the current version of an index."""

from __future__ import annotations

import unittest

from gypsumvane_core.document_edits import start_move
from gypsumvane_core.document_edits import take_back_move
from gypsumvane_core.document_models import IndexDocument
from gypsumvane_core.document_models import IndexKind
from gypsumvane_core.document_models import LeafModel
from gypsumvane_core.document_models import MoveDocument
from gypsumvane_core.document_models import MoveState
from gypsumvane_core.version_in_force import version_in_force


def build_index(current: str, *versions: str) -> IndexDocument:
    """Return an index of one service with a leaf of each version."""
    leaves = [
        LeafModel(
            leaf_id=f"s0-{version}",
            service="s0",
            failure_domain="a",
            address="127.0.0.1:1",
            version=version,
        )
        for version in versions
    ]
    return IndexDocument(
        name="stock",
        kind=IndexKind.SEARCH,
        leaves=leaves,
        partition_maps={1: ["s0"]},
        current_version=current,
    )


def build_move(old: str, new: str, state: MoveState, revision: int) -> MoveDocument:
    """Return a move of the index."""
    return MoveDocument(
        move_id=f"{old}-{new}",
        index="stock",
        from_version=old,
        to_version=new,
        start_unix_s=1.0,
        complete_by_unix_s=2.0,
        state=state,
        index_revision=revision,
    )


class VersionInForceTest(unittest.TestCase):
    """Check which document determines the version."""

    def test_move_starts_at_the_current_version(self) -> None:
        """Guard against comparing a version with one that has no traffic."""
        index = build_index("v2", "v1", "v2", "v3")
        move = build_move("v1", "v3", MoveState.RUNNING, 0)
        with self.assertRaisesRegex(ValueError, "current version of stock.* is v2"):
            start_move(None, move, index=index, index_revision=4)
        start_move(None, build_move("v2", "v3", MoveState.RUNNING, 0), index=index)
        start_move(None, move, index=build_index("", "v1", "v3"))

    def test_start_right_after_a_done_move_is_taken_back(self) -> None:
        """Guard against refusing a start while the index document is out of date."""
        index = build_index("v2", "v1", "v2", "v3")
        done = build_move("v1", "v2", MoveState.DONE, 4).model_dump_json().encode()
        back = take_back_move(done, move_id="", reason="wrong layout")
        move = build_move("v1", "v3", MoveState.RUNNING, 0)
        start_move(back, move, index=index, index_revision=4)
        with self.assertRaisesRegex(ValueError, "which is v2"):
            start_move(done, move, index=index, index_revision=4)

    def test_move_without_leaves_of_its_version(self) -> None:
        """Guard against an old move that keeps requests from replacement leaves."""
        move = build_move("v1", "v2", MoveState.DONE, 0)
        self.assertEqual(version_in_force(build_index("", "v3"), 1, move), "")
        self.assertEqual(version_in_force(build_index("", "v2", "v3"), 1, move), "v2")

    def test_current_version_needs_a_leaf_of_each_service(self) -> None:
        """Guard against a current version that some services do not have."""
        with self.assertRaisesRegex(ValueError, "without leaves of the current"):
            build_index("v2", "v1")
