"""CPU time of one heartbeat of a keyed target, without any I/O.

    python bench/daemon_cost/heartbeats.py

Uses the `mustardloom` of the present folder, so that it also runs in a clone
of an earlier version.
"""

import random
import sys
import time

sys.path.insert(0, ".")

from mustardloom import ids
from mustardloom.deployment import targets
from mustardloom.keys import claims
from mustardloom.keys import grants
from mustardloom.keys import key_map
from mustardloom.keys import ledger

_OWN, _OTHER = ids.VmId("own"), ids.VmId("other")
_INSTANCE = targets.TargetInstance(targets.TargetId("t"), 1)
_HEARTBEATS = 400


def _map(version: int, rows: int, previous: str) -> key_map.KeyMap:
    """Returns a map of which this VM owns every second of its rows."""
    width = key_map.KEY_COUNT // (2 * rows)
    found = []
    for index in range(2 * rows):
        last = (index + 1) * width - 1
        if index == 2 * rows - 1:
            last = key_map.KEY_COUNT - 1
        owner = _OTHER if index % 2 else _OWN
        earlier = ids.VmId(previous if index % 2 == 0 else "")
        found.append(
            key_map.Row(index * width, last, owner, version, earlier, 1)
        )
    return key_map.KeyMap(version, tuple(found), {_OWN: _INSTANCE})


def _measure(rows: int, pending: int) -> float:
    """Returns microseconds for a heartbeat.

    Args:
      rows: Rows of the VM; the target holds all but those that are pending.
      pending: Rows that an earlier owner may still hold.
    """
    own = grants.Grants(_OWN)
    own.claims.adopt(_map(1, rows, "other"))
    free = own.claims.map.owned_by(_OWN)[pending:]
    own.claims.record_release(
        claims.Release(
            _OTHER,
            1,
            tuple(ledger.ReleasedRange(row.first, row.last) for row in free),
        )
    )
    held = tuple(
        targets.HeldRange(row.first, row.last, row.fence) for row in free
    )
    began_s = time.process_time()
    for number in range(_HEARTBEATS):
        now_ms = 200 * number
        own.observe(
            targets.Announcement(
                _INSTANCE,
                ids.ServiceId("s"),
                ids.AvailabilityZoneId("z"),
                4,
                targets.Phase.READY,
                0,
                number,
                held,
            ),
            now_ms,
        )
        # A busy target: its daemon leaves out the first idle key it finds.
        own.grant(grants.HOLD_MS, now_ms, True, lambda _: random.random() < 0.5)
    return (time.process_time() - began_s) / _HEARTBEATS * 1e6


def main() -> None:
    """Prints the time of a heartbeat for some sizes."""
    for rows, pending in ((10, 0), (60, 0), (10, 3), (60, 10), (300, 0)):
        figure = _measure(rows, pending)
        print(f"rows {rows}, pending {pending}: {figure:.0f} us")


if __name__ == "__main__":
    main()
