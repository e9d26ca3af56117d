"""`python -m soak`: runs the soak for some seeds, one line of JSON each."""

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
    seconds: Annotated[
        int, typer.Option(help="time over which faults begin, in seconds")
    ] = 20,
    faults: Annotated[
        int, typer.Option(help="number of faults in that time")
    ] = 14,
    vms: Annotated[int, typer.Option(help="VMs, two processes each")] = 8,
    network: Annotated[
        int, typer.Option(help="second byte of loopback addresses")
    ] = 77,
    regressions: Annotated[
        bool, typer.Option(help="run the seeds that once failed instead")
    ] = False,
    work: Annotated[
        bool,
        typer.Option(help="stops, reloads and configurations only"),
    ] = False,
    callers: Annotated[int, typer.Option(help="callers on each VM")] = 2,
    work_ms: Annotated[
        int, typer.Option(help="time that most requests take, in ms")
    ] = 20,
    logs: Annotated[
        pathlib.Path | None, typer.Option(help="keep settings and logs here")
    ] = None,
) -> None:
    """Runs the seeds and exits with 1 if a check found a violation."""
    folder = logs or pathlib.Path(tempfile.mkdtemp(prefix="soak-"))
    faults_by_kind: collections.Counter[str] = collections.Counter()
    requests = 0
    failed = []
    seeds = list(range(first, first + count))
    if regressions:
        seeds = list(regressions_lib.CAUSE_BY_SEED)
    for seed in seeds:
        seed_folder = folder / str(seed)
        seed_folder.mkdir(parents=True, exist_ok=True)
        options = run_lib.Options(
            seed,
            seed_folder,
            network,
            vms,
            callers_per_vm=callers,
            faults=faults,
            length_s=seconds,
            is_planned_work=work,
            work_ms=work_ms,
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
