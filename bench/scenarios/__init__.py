"""Scenarios by name; each module has one `run` function."""

from collections.abc import Callable

from bench import measurement
from bench.scenarios import control
from bench.scenarios import loss
from bench.scenarios import move
from bench.scenarios import outage
from bench.scenarios import pause
from bench.scenarios import zone

__all__ = ["BY_NAME"]

Run = Callable[[], measurement.Measurement]

BY_NAME: dict[str, Run] = {
    "control": control.run,
    "loss": loss.run,
    "move": move.run,
    "outage": outage.run,
    "pause": pause.run,
    "zone": zone.run,
}
