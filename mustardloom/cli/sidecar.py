"""`mustardloom-sidecar`: the daemon beside a target of a deployment.

Exit codes: 0 after SIGTERM, 2 if the settings have faults, 1 otherwise.
"""

import argparse
import asyncio
import gc
import os
import sys

from mustardloom import clock as clock_lib
from mustardloom import findings
from mustardloom.deployment import settings
from mustardloom.platform import object_api
from mustardloom.platform import settings_file
from mustardloom.sidecar import daemon

__all__ = ["main"]

VERSION = "0.1.0"
_METRICS_PORT_VARIABLE = "MUSTARDLOOM_METRICS_PORT"
_DEFAULT_METRICS_PORT = "9464"
_PEER_PORT_VARIABLE = "MUSTARDLOOM_PEER_LISTEN_PORT"
_FAULTY_SETTINGS = 2
# Few objects of the daemon form cycles.
_COLLECT_AFTER_OBJECTS = 50_000


def main() -> int:
    """Runs the daemon and returns its exit code."""
    parser = argparse.ArgumentParser(
        prog="mustardloom-sidecar",
        description="Routes requests to the targets of a deployment. "
        f"The settings file is named by {settings_file.VARIABLE}.",
    )
    parser.add_argument(
        "--metrics-port",
        type=int,
        default=int(
            os.environ.get(_METRICS_PORT_VARIABLE, _DEFAULT_METRICS_PORT)
        ),
        help=f"port of the metrics page ({_METRICS_PORT_VARIABLE})",
    )
    parser.add_argument(
        "--peer-listen-port",
        type=int,
        default=int(os.environ.get(_PEER_PORT_VARIABLE, "0")),
        help="port to listen on for other daemons where a port mapping leads "
        f"from the announced one to it ({_PEER_PORT_VARIABLE})",
    )
    parser.add_argument("--version", action="version", version=VERSION)
    arguments = parser.parse_args()
    try:
        own = settings_file.read()
    except findings.FindingsError as error:
        print(error, file=sys.stderr)
        return _FAULTY_SETTINGS
    gc.set_threshold(_COLLECT_AFTER_OBJECTS)
    ports = daemon.Ports(
        arguments.metrics_port, arguments.peer_listen_port or own.peer_port
    )
    asyncio.run(_run(own, ports))
    return 0


async def _run(own: settings.Settings, ports: daemon.Ports) -> None:
    store = object_api.ObjectApi(own.store.address)
    clock = clock_lib.SystemClock()
    made = daemon.Daemon(own, store, clock, ports, settings_file.read)
    await made.run()


if __name__ == "__main__":
    sys.exit(main())
