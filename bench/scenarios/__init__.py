"""Scenarios by name; each module has one `run` function."""

from collections.abc import Callable

from bench import measurement
from bench.scenarios import cold
from bench.scenarios import control
from bench.scenarios import cost
from bench.scenarios import imbalance
from bench.scenarios import loss
from bench.scenarios import move
from bench.scenarios import outage
from bench.scenarios import overload
from bench.scenarios import pause
from bench.scenarios import poison
from bench.scenarios import scale
from bench.scenarios import straggler
from bench.scenarios import zone

__all__ = ["BY_NAME"]

Run = Callable[[], measurement.Measurement]

BY_NAME: dict[str, Run] = {
    "cold": cold.run,
    "control": control.run,
    "cost": cost.run,
    "imbalance": imbalance.run,
    "loss": loss.run,
    "move": move.run,
    "outage": outage.run,
    "overload": overload.run,
    "pause": pause.run,
    "poison": poison.run,
    "scale": scale.run,
    "straggler": straggler.run,
    "zone": zone.run,
}
