"""Sends operator commands and notes when they were acknowledged."""

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
    """The command was not carried out; the message names the answer."""


def wall_ms() -> int:
    """Returns the wall-clock time."""
    return time.time_ns() // _NS_PER_MS


def run_command(node: fleet_lib.Node, line: str) -> int:
    """Carries out a command as `mustardloomctl do` sends it.

    The start and end of a `mustardloomctl` process would blur the time of the
    acknowledgement by some 100 ms.

    Returns:
      Wall-clock time of the acknowledgement.

    Raises:
      OrderFailed: The answer was a refusal or a fault.
    """
    order = {"line": line, "who": _WHO, "operation": ids.new_operation_id()}
    url = f"{node.admin_url}{endpoint.PATH}"
    try:
        fleet_lib.http_json(url, order, timeout_s=_TIMEOUT_S)
    except urllib.error.HTTPError as error:
        raise OrderFailed(f"{line!r}: {error.read()!r}") from error
    return wall_ms()


def stop_zone(node: fleet_lib.Node, zone: str) -> int:
    """Takes an availability zone out, by force if that is refused.

    The check of the remaining capacity counts the requests of one moment, and
    refuses at times although the mean load leaves enough.

    Returns:
      Wall-clock time of the acknowledgement.
    """
    line = f"stop availability-zone {zone}"
    try:
        return run_command(node, line)
    except OrderFailed as error:
        print(f"repeated with force: {error}", flush=True)
        return run_command(node, f"{line} force")
