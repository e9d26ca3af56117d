"""Command line of the load tool."""

import asyncio
import contextlib
import pathlib
from typing import Annotated

import msgspec
import typer

from mustardloom.standins import caller

__all__ = ["main"]


def _address(text: str) -> tuple[str, int]:
    host, _, port = text.rpartition(":")
    if not host or not port.isdecimal():
        raise typer.BadParameter(f"{text!r} is not HOST:PORT")
    return host, int(port)


def _traffic(text: str) -> caller.Traffic:
    """Returns the traffic of `SERVICE=PATH[,weight=W][,key=HEADER]...`."""
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


def run(
    ingress: Annotated[
        list[str],
        typer.Option(
            help="HOST:PORT of an ingress; repeat for several.",
            envvar="MUSTARDLOOM_INGRESS",
        ),
    ],
    service: Annotated[
        list[str],
        typer.Option(
            help="SERVICE=/PATH[,weight=W][,key=HEADER][,organisation=ID];"
            " {key} in the path is replaced."
        ),
    ],
    rate: Annotated[
        float, typer.Option(help="Requests/s of an open loop; 0: closed loop.")
    ] = 0.0,
    callers: Annotated[
        int, typer.Option(help="Concurrent callers of a closed loop.")
    ] = 16,
    count: Annotated[int, typer.Option(help="Most requests.")] = 1_000,
    duration_s: Annotated[
        float, typer.Option(help="Longest time in which requests start.")
    ] = 10.0,
    connections: Annotated[
        int, typer.Option(help="Most connections to one ingress.")
    ] = 120,
    post_share: Annotated[
        float, typer.Option(help="Share of non-idempotent requests.")
    ] = 0.0,
    resends: Annotated[
        int, typer.Option(help="Resends of a request without an answer.")
    ] = 0,
    deadline_ms: Annotated[int, typer.Option(help="Deadline.")] = 1_000,
    keys: Annotated[int, typer.Option(help="Number of keys.")] = 10_000,
    zipf_exponent: Annotated[
        float, typer.Option(help="Skew of the keys; 0: uniform.")
    ] = 1.0,
    hot_change_s: Annotated[
        float, typer.Option(help="Interval between hot sets; 0: no change.")
    ] = 0.0,
    body_bytes: Annotated[
        int, typer.Option(help="Body size of non-idempotent requests.")
    ] = 16,
    direct: Annotated[
        bool, typer.Option(help="The ingresses are targets, used in turn.")
    ] = False,
    seed: Annotated[int, typer.Option(help="Seed of random choices.")] = 1,
    log: Annotated[
        pathlib.Path | None,
        typer.Option(help="File for one JSON line per request."),
    ] = None,
) -> None:
    """Sends load to ingresses and prints the result as JSON."""
    load = caller.Load(
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
    """Runs the command line."""
    typer.run(run)


if __name__ == "__main__":
    main()
