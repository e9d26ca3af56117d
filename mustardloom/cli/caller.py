"""Binary `mustardloom-caller`: load generator."""

import asyncio
import contextlib
import pathlib
from typing import Annotated

import msgspec
import typer

from mustardloom.cli import common
from mustardloom.standins import caller

__all__ = ["app", "main"]

app = typer.Typer(help="Load generator.")


def _address(text: str) -> tuple[str, int]:
    host, _, port = text.rpartition(":")
    if not host or not port.isdecimal():
        raise typer.BadParameter(f"{text!r} is not HOST:PORT")
    return host, int(port)


def _traffic(text: str) -> caller.Traffic:
    """Parses `SERVICE=/PATH[,weight=W][,key=HEADER][,organisation=ID]`."""
    head, *options = text.split(",")
    service, separator, path = head.partition("=")
    values = dict(option.partition("=")[::2] for option in options)
    unknown = set(values) - {"weight", "key", "organisation"}
    if not separator or not path.startswith("/") or unknown:
        raise typer.BadParameter(f"{text!r} is not SERVICE=/PATH[,OPTION=V]")
    return caller.Traffic(
        service=service,
        path=path,
        weight=float(values.get("weight", 1.0)),
        key_header=values.get("key"),
        organisation=values.get("organisation"),
    )


@app.command()
def run(
    ingress: Annotated[
        list[str],
        common.setting("INGRESS", "HOST:PORT of an ingress; may be repeated."),
    ],
    service: Annotated[
        list[str],
        common.setting(
            "TRAFFIC",
            "SERVICE=/PATH[,weight=W][,key=HEADER][,organisation=ID];"
            " {key} in the path is replaced by the key; may be repeated.",
        ),
    ],
    rate: Annotated[
        float,
        common.setting(
            "RATE", "Requests/s of an open loop; 0: closed loop.", 0
        ),
    ] = 0.0,
    callers: Annotated[
        int,
        common.setting("CALLERS", "Concurrent callers of a closed loop.", 1),
    ] = 16,
    count: Annotated[
        int, common.setting("COUNT", "Largest number of requests.", 0)
    ] = 1_000,
    duration_s: Annotated[
        float,
        common.setting(
            "DURATION_S", "Longest time in which requests are started, in s.", 0
        ),
    ] = 10.0,
    connections: Annotated[
        int,
        common.setting(
            "CONNECTIONS", "Largest number of connections to each ingress.", 1
        ),
    ] = 120,
    post_share: Annotated[
        float,
        common.setting("POST_SHARE", "Share of POST requests, 0 to 1.", 0),
    ] = 0.0,
    resends: Annotated[
        int,
        common.setting(
            "RESENDS", "How often a refused or unknown request is resent.", 0
        ),
    ] = 0,
    deadline_ms: Annotated[
        int,
        common.setting("DEADLINE_MS", "Deadline of each request, in ms.", 1),
    ] = 1_000,
    keys: Annotated[int, common.setting("KEYS", "Number of keys.", 1)] = 10_000,
    zipf_exponent: Annotated[
        float,
        common.setting("ZIPF_EXPONENT", "Skew of the keys; 0: uniform.", 0),
    ] = 1.0,
    hot_change_s: Annotated[
        float,
        common.setting(
            "HOT_CHANGE_S", "After how long other keys become hot; 0: never.", 0
        ),
    ] = 0.0,
    body_bytes: Annotated[
        int,
        common.setting(
            "BODY_BYTES", "Body size of POST requests, in bytes.", 0
        ),
    ] = 16,
    direct: Annotated[
        bool,
        common.setting(
            "DIRECT",
            "The ingresses are targets: they are used in turn and get no"
            " deadline.",
        ),
    ] = False,
    seed: Annotated[int, common.setting("SEED", "Seed of random draws.")] = 1,
    log: Annotated[
        pathlib.Path | None,
        common.setting(
            "REQUEST_LOG", "File to write one JSON line per request to."
        ),
    ] = None,
    version: common.VersionOption = False,
) -> None:
    """Sends load to ingresses and prints a report as JSON.

    Exit codes: 0 after the run, whatever its results; 2 for invalid flags.
    """
    del version
    load = caller.LoadSpec(
        ingresses=tuple(map(_address, ingress)),
        traffic=tuple(map(_traffic, service)),
        rate=rate,
        callers=callers,
        count=count,
        duration_s=duration_s,
        connections=connections,
        post_share=post_share,
        resends=resends,
        deadline_ms=deadline_ms,
        keys=keys,
        zipf_exponent=zipf_exponent,
        hot_change_s=hot_change_s,
        body_bytes=body_bytes,
        direct=direct,
        seed=seed,
    )
    with contextlib.ExitStack() as stack:
        stream = stack.enter_context(log.open("wb")) if log else None
        report = asyncio.run(caller.Caller(load, stream).run())
    typer.echo(msgspec.json.encode(report).decode())


def main() -> None:
    """Runs the binary."""
    common.run(app)


if __name__ == "__main__":
    main()
