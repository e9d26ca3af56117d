"""`python -m soak`: plays seeds and prints a line for each."""

import asyncio
import collections
import pathlib
import sys
import tempfile
from typing import Annotated

import typer

from soak import regressions as regressions_lib
from soak import run as run_lib

__all__ = ["main"]


def main(
    first: Annotated[int, typer.Argument(help="first seed")] = 1,
    count: Annotated[int, typer.Option(help="number of seeds")] = 1,
    seconds: Annotated[int, typer.Option(help="time with faults")] = 20,
    faults: Annotated[int, typer.Option(help="faults in that time")] = 14,
    vms: Annotated[int, typer.Option(help="VMs, two processes each")] = 8,
    network: Annotated[
        int, typer.Option(help="second byte of loopback addresses")
    ] = 77,
    regressions: Annotated[
        bool, typer.Option(help="play the seeds that failed once instead")
    ] = False,
    logs: Annotated[
        pathlib.Path | None, typer.Option(help="keep settings and logs here")
    ] = None,
) -> None:
    """Plays seeds and exits with 1 if a promise was broken."""
    folder = logs or pathlib.Path(tempfile.mkdtemp(prefix="soak-"))
    faults_by_kind: collections.Counter[str] = collections.Counter()
    requests = 0
    failed = []
    seeds = list(range(first, first + count))
    if regressions:
        seeds = list(regressions_lib.CAUSE_BY_SEED)
    for seed in seeds:
        own = folder / str(seed)
        own.mkdir(parents=True, exist_ok=True)
        options = run_lib.Options(
            seed, own, network, vms, faults=faults, length_s=seconds
        )
        result = asyncio.run(run_lib.play(options))
        print(run_lib.describe(result).decode(), flush=True)
        faults_by_kind.update(each.kind.value for each in result.planned)
        requests += result.requests
        if result.broken:
            failed.append(seed)
    print(
        f"seeds {len(seeds)}, requests {requests}, failed seeds {failed}, "
        f"logs in {folder}, faults {dict(sorted(faults_by_kind.items()))}"
    )
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    typer.run(main)
