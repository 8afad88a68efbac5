"""All experiments by name."""

from __future__ import annotations

from typing import TYPE_CHECKING

from gypsumvane_devtools.measure.bookings import BookingsExperiment
from gypsumvane_devtools.measure.cold_start import ColdStartExperiment
from gypsumvane_devtools.measure.configuration_change import (
    ConfigurationChangeExperiment,
)
from gypsumvane_devtools.measure.daemon_killed import DaemonKilledExperiment
from gypsumvane_devtools.measure.failure_domain import FailureDomainExperiment
from gypsumvane_devtools.measure.limits import LimitsExperiment
from gypsumvane_devtools.measure.overload import OverloadExperiment
from gypsumvane_devtools.measure.planned_stop import PlannedStopExperiment
from gypsumvane_devtools.measure.retries import RetriesExperiment
from gypsumvane_devtools.measure.store_calls import StoreCallsExperiment
from gypsumvane_devtools.measure.straggler import StragglerExperiment
from gypsumvane_devtools.measure.version_move import VersionMoveExperiment

if TYPE_CHECKING:
    from gypsumvane_devtools.measure.experiment import Experiment

EXPERIMENT_CLASSES: list[type[Experiment]] = [
    StragglerExperiment,
    ColdStartExperiment,
    DaemonKilledExperiment,
    PlannedStopExperiment,
    FailureDomainExperiment,
    ConfigurationChangeExperiment,
    OverloadExperiment,
    LimitsExperiment,
    RetriesExperiment,
    BookingsExperiment,
    StoreCallsExperiment,
    VersionMoveExperiment,
]
EXPERIMENTS = {experiment.name: experiment for experiment in EXPERIMENT_CLASSES}
