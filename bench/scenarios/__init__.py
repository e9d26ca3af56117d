"""Scenarios by name; each module has one `run` function."""

from collections.abc import Callable

from bench import measurement
from bench.scenarios import cold
from bench.scenarios import cost
from bench.scenarios import imbalance
from bench.scenarios import loss
from bench.scenarios import overload
from bench.scenarios import poison
from bench.scenarios import straggler

__all__ = ["BY_NAME"]

Run = Callable[[], measurement.Measurement]

BY_NAME: dict[str, Run] = {
    "cold": cold.run,
    "cost": cost.run,
    "imbalance": imbalance.run,
    "loss": loss.run,
    "overload": overload.run,
    "poison": poison.run,
    "straggler": straggler.run,
}
