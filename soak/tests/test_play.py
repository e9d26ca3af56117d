"""A short seeded run of the soak with the real processes."""

import asyncio

import pytest

from soak import run as run_lib

# Seed 40 plans a restart, a kill, a leave, an evacuation, a silenced link and
# an unreachable store.
_SEEDS = (40,)


@pytest.mark.parametrize("seed", _SEEDS)
def test_guarantees_hold_under_faults(seed, tmp_path):
    """Guards against violations that only show with real processes."""
    options = run_lib.Options(
        seed, tmp_path, network=78, vms=6, faults=6, length_s=6
    )
    result = asyncio.run(run_lib.play(options))
    assert result.broken == []
    assert result.served > 0
