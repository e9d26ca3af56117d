"""Scenarios by name; each module has one `run` function."""

from collections.abc import Callable

from bench import measurement
from bench.scenarios import loss

__all__ = ["BY_NAME"]

Run = Callable[[], measurement.Measurement]

BY_NAME: dict[str, Run] = {
    "loss": loss.run,
}
