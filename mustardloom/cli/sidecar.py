"""`mustardloom-sidecar`: the daemon on the VM of a target of a deployment.

Exit codes: 0 after a signal to stop, 2 if the settings are not valid, 1
otherwise.
"""

from mustardloom import process_signals

if __name__ == "__main__":
    # Before the slow imports: no signal must end the process meanwhile.
    process_signals.hold()

import argparse
import asyncio
import contextlib
import gc
import os
import sys
from typing import NoReturn

from mustardloom import clock as clock_lib
from mustardloom import findings
from mustardloom import metrics as metrics_lib
from mustardloom import standard_streams
from mustardloom.deployment import settings
from mustardloom.platform import object_api
from mustardloom.platform import settings_file
from mustardloom.sidecar import daemon
from mustardloom.sidecar import ending
from mustardloom.sidecar import events
from mustardloom.sidecar import first_settings
from mustardloom.sidecar import process_log

__all__ = ["main"]

VERSION = "0.1.0"
_METRICS_PORT_VARIABLE = "MUSTARDLOOM_METRICS_PORT"
_DEFAULT_METRICS_PORT = "9464"
_PEER_PORT_VARIABLE = "MUSTARDLOOM_PEER_LISTEN_PORT"
# Container objects allocated, less those freed, before a collection of the
# youngest generation. It can be rare, as few objects of the daemon form cycles.
_GC_THRESHOLD_OBJECTS = 50_000


def main() -> NoReturn:
    """Runs the daemon and ends the process."""
    process_signals.hold()
    standard_streams.open_missing()
    arguments = _parser().parse_args()
    gc.set_threshold(_GC_THRESHOLD_OBJECTS)
    loaded = _read_settings()
    ports = daemon.Ports(
        arguments.metrics_port, arguments.peer_listen_port or loaded.peer_port
    )
    asyncio.run(_serve(loaded, ports))


def _end(exit_code: int) -> NoReturn:
    """Ends the process."""
    for each in filter(None, (sys.stdout, sys.stderr)):
        # Whoever reads it may have closed it.
        with contextlib.suppress(OSError, ValueError):
            each.flush()
    # The interpreter would take its time to end, and run more code meanwhile.
    os._exit(exit_code)


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="mustardloom-sidecar",
        description="Routes requests to the targets of a deployment. "
        f"The settings file is named by {settings_file.ENVIRONMENT_VARIABLE}.",
    )
    parser.add_argument(
        "--metrics-port",
        type=int,
        default=int(
            os.environ.get(_METRICS_PORT_VARIABLE, _DEFAULT_METRICS_PORT)
        ),
        help=f"port that serves the metrics page ({_METRICS_PORT_VARIABLE})",
    )
    parser.add_argument(
        "--peer-listen-port",
        type=int,
        default=int(os.environ.get(_PEER_PORT_VARIABLE, "0")),
        help="port to listen on for other daemons if a port mapping leads "
        f"to it from the announced one ({_PEER_PORT_VARIABLE})",
    )
    parser.add_argument("--version", action="version", version=VERSION)
    return parser


def _read_settings() -> settings.Settings:
    """Returns the settings; ends the process if there are none."""
    try:
        loaded = asyncio.run(_await_settings())
    except findings.FindingsError as error:
        print(error, file=sys.stderr)
        _end(ending.write(ending.InvalidSettings(str(error)), _log()))
    if loaded is None:
        _end(ending.write(ending.Stop(process_signals.pending_stop()), _log()))
    return loaded


def _log(vm: str = "") -> events.EventLog:
    return events.EventLog(vm, clock_lib.SystemClock(), metrics_lib.Metrics())


async def _await_settings() -> settings.Settings | None:
    """Returns the settings, None if a signal to stop came first."""
    return await first_settings.await_settings(
        settings_file.read,
        clock_lib.SystemClock(),
        lambda error: _log().write(
            events.Event.SETTINGS_AWAITED, error=str(error)
        ),
        lambda: process_signals.pending_stop() is not None,
    )


async def _serve(loaded: settings.Settings, ports: daemon.Ports) -> NoReturn:
    """Runs the daemon and ends the process.

    The event loop is not closed first: that would run more code, take its time,
    and give back the handlers of the signals.
    """
    store = object_api.ObjectApi(loaded.store.address)
    clock = clock_lib.SystemClock()
    sidecar = daemon.Daemon(loaded, store, clock, ports, settings_file.read)
    process_log.ProcessLog(sidecar.log).install(asyncio.get_running_loop())
    _end(ending.write(await _outcome(sidecar), sidecar.log))


async def _outcome(sidecar: daemon.Daemon) -> ending.Ending:
    """Runs the daemon and returns how it ended."""
    try:
        return await sidecar.run()
    except Exception as error:
        # The process ends, and its last line tells why.
        return ending.Fault(error)


if __name__ == "__main__":
    main()
