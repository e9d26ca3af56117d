"""Binary `mustardloomd`: the daemon on the VM of a target."""

import asyncio
import gc
from typing import Annotated

from loguru import logger
import typer

from mustardloom import process_signals
from mustardloom.cli import common
from mustardloom.daemon import daemon as daemon_lib
from mustardloom.daemon import settings as settings_lib

__all__ = ["main"]


_app = typer.Typer()
# Container objects allocated, less those freed, before a collection of the
# youngest generation. The interpreter's default of 700 costs 9 % more processor
# time per request.
_GC_THRESHOLD_OBJECTS = 20_000


@_app.command()
def run(
    vm: Annotated[str, common.setting("VM", "Name of this VM.")] = "",
    region: Annotated[str, common.setting("REGION", "Region of this VM.")] = "",
    availability_zone: Annotated[
        str,
        common.setting("AVAILABILITY_ZONE", "Availability zone of this VM."),
    ] = "",
    platform: Annotated[
        str,
        common.setting(
            "PLATFORM", "Base address of the platform's object API."
        ),
    ] = "",
    caller_address: Annotated[
        str,
        common.setting("CALLER_ADDRESS", "IP:PORT to which callers connect."),
    ] = "127.0.0.1:7000",
    peer_address: Annotated[
        str,
        common.setting(
            "PEER_ADDRESS", "IP:PORT for other daemons, TCP and UDP."
        ),
    ] = "127.0.0.1:7001",
    admin_address: Annotated[
        str,
        common.setting(
            "ADMIN_ADDRESS", "IP:PORT for the target and operators."
        ),
    ] = "127.0.0.1:7002",
    fleet_key: Annotated[
        str,
        common.setting("FLEET_KEY", "Key shared by all daemons of the fleet."),
    ] = "",
    seed: Annotated[
        list[str] | None,
        common.setting(
            "SEEDS",
            "IP:PORT of a peer to load from if the store is down at the start;"
            " may be repeated.",
        ),
    ] = None,
    statsd: Annotated[
        str,
        common.setting(
            "STATSD", "IP:PORT to which metrics are sent; empty: none."
        ),
    ] = "",
    drain_timeout_ms: Annotated[
        int,
        common.setting(
            "DRAIN_TIMEOUT_MS", "Longest time from SIGTERM to the end, in ms."
        ),
    ] = 30_000,
    log_intervals: Annotated[
        bool,
        common.setting(
            "LOG_INTERVALS", "Keep a log of the times in which slots are owned."
        ),
    ] = False,
    log_format: common.LogFormatOption = common.LogFormat.HUMAN,
    version: common.VersionOption = False,
) -> None:
    """Runs the daemon until SIGTERM, then drains.

    Exit codes: 0 after a drain, 2 for invalid flags and if it cannot start, 3
    for invalid settings.
    """
    del version
    common.set_up_logs(log_format)
    raw = settings_lib.RawSettings(
        vm=vm,
        region=region,
        availability_zone=availability_zone,
        platform=platform,
        caller_address=caller_address,
        peer_address=peer_address,
        admin_address=admin_address,
        fleet_key=fleet_key,
        seeds=tuple(seed or ()),
        statsd=statsd,
        drain_timeout_ms=drain_timeout_ms,
        log_intervals=log_intervals,
    )
    with common.reporting_errors():
        settings = settings_lib.check(raw)
    try:
        asyncio.run(_serve(settings))
    except daemon_lib.StartError as error:
        raise common.fail(str(error), common.ExitCode.USAGE) from error


async def _serve(settings: settings_lib.DaemonSettings) -> None:
    gc.set_threshold(_GC_THRESHOLD_OBJECTS)
    daemon = daemon_lib.Daemon(settings)
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    process_signals.take(
        loop,
        lambda _: stop_requested.set(),
        lambda: logger.info("settings are read at the start only"),
        lambda number: logger.info("{} means nothing here", number.name),
    )
    start = asyncio.create_task(daemon.start())
    stop_waiter = asyncio.create_task(stop_requested.wait())
    try:
        await asyncio.wait(
            (start, stop_waiter), return_when=asyncio.FIRST_COMPLETED
        )
        if not start.done():
            logger.info("asked to stop before the start was complete; exiting")
            start.cancel()
            return
        start.result()
        await stop_requested.wait()
        await daemon.drain()
    finally:
        stop_waiter.cancel()
        # The loop gives its handlers back when it is closed.
        process_signals.hold()


def main() -> None:
    """Runs the binary."""
    process_signals.hold()
    common.run(_app)


if __name__ == "__main__":
    main()
