"""All experiments by name."""

from __future__ import annotations

from typing import TYPE_CHECKING

from gypsumvane_devtools.measure.cold_start import ColdStartExperiment
from gypsumvane_devtools.measure.straggler import StragglerExperiment

if TYPE_CHECKING:
    from gypsumvane_devtools.measure.experiment import Experiment

EXPERIMENT_CLASSES: list[type[Experiment]] = [
    StragglerExperiment,
    ColdStartExperiment,
]
EXPERIMENTS = {experiment.name: experiment for experiment in EXPERIMENT_CLASSES}
