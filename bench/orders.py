"""Sends operator commands and returns the time of the acknowledgement."""

import time
import urllib.error

from bench import fleet as fleet_lib
from mustardloom import ids
from mustardloom.operators import endpoint

__all__ = ["OrderFailed", "run_command", "stop_zone", "wall_ms"]

_NS_PER_MS = 1_000_000
_TIMEOUT_S = 15.0
_WHO = "bench"


class OrderFailed(Exception):
    """The command was not carried out; the message holds the answer."""


def wall_ms() -> int:
    """Returns the wall-clock time in milliseconds."""
    return time.time_ns() // _NS_PER_MS


def run_command(node: fleet_lib.Node, line: str) -> int:
    """Sends a command as `mustardloomctl do` does, from this process.

    Starting a `mustardloomctl` process would make the time of the
    acknowledgement inaccurate by some 100 ms.

    Returns:
      Wall-clock time of the acknowledgement in milliseconds.

    Raises:
      OrderFailed: The daemon refused the command or failed.
    """
    order = {"line": line, "who": _WHO, "operation": ids.new_operation_id()}
    url = f"{node.admin_url}{endpoint.PATH}"
    try:
        fleet_lib.http_json(url, order, timeout_s=_TIMEOUT_S)
    except urllib.error.HTTPError as error:
        raise OrderFailed(f"{line!r}: {error.read()!r}") from error
    return wall_ms()


def stop_zone(node: fleet_lib.Node, zone: str) -> int:
    """Stops an availability zone, with `force` if that is refused.

    The check of the remaining capacity uses the number of running requests at
    one moment, so it sometimes refuses although the mean load would allow it.

    Returns:
      Wall-clock time of the acknowledgement in milliseconds.
    """
    line = f"stop availability-zone {zone}"
    try:
        return run_command(node, line)
    except OrderFailed as error:
        print(f"stop failed, repeated with force: {error}", flush=True)
        return run_command(node, f"{line} force")
