"""Subcommands of `mustardloomctl` for declaration files."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import datetime
import getpass
import pathlib
from typing import Annotated
from typing import TypeVar

import msgspec
import typer

from mustardloom import clock as clock_lib
from mustardloom import declarations
from mustardloom import findings
from mustardloom import ids
from mustardloom import metrics as metrics_lib
from mustardloom import store as store_lib
from mustardloom.cli import common
from mustardloom.declarations import diff as diff_lib

__all__ = ["apply", "diff", "register", "validate"]

_T = TypeVar("_T")
_MS_PER_S = 1_000

_Files = Annotated[
    list[pathlib.Path],
    typer.Argument(
        envvar="MUSTARDLOOM_FILES",
        help="YAML files or directories that together form one set.",
    ),
]
_Platform = Annotated[
    str,
    typer.Option(
        "--platform",
        envvar="MUSTARDLOOM_PLATFORM",
        help="Address of the platform's object API.",
    ),
]
_Who = Annotated[
    str,
    typer.Option(
        envvar="MUSTARDLOOM_WHO",
        default_factory=getpass.getuser,
        help="Name of the operator for the audit trail.",
    ),
]
_IfVersion = Annotated[
    int | None,
    typer.Option(
        envvar="MUSTARDLOOM_IF_VERSION",
        min=0,
        help="Apply only if this version, as printed by diff, is in force.",
    ),
]


def register(app: typer.Typer) -> None:
    """Adds the subcommands to `app`."""
    for command in (validate, diff, apply):
        app.command()(command)


def validate(files: _Files) -> None:
    """Checks declaration files and reports all faults with their positions."""
    with common.reporting_errors():
        declared = declarations.load_set(files)
    typer.echo(f"set {declared.id} is valid")


def diff(files: _Files, platform_url: _Platform) -> None:
    """Shows what apply would change, and changes nothing."""

    async def show(client: store_lib.PlatformClient) -> None:
        plan = await _plan(client, files)
        _print_plan(plan)

    _with_client(platform_url, show)


def apply(
    files: _Files,
    platform_url: _Platform,
    who: _Who,
    if_version: _IfVersion = None,
) -> None:
    """Puts declaration files in force, unless the set changes meanwhile."""

    async def change(client: store_lib.PlatformClient) -> None:
        plan = await _plan(client, files)
        if not plan.changes:
            _print_plan(plan)
            return
        if if_version is not None and if_version != plan.version:
            raise _conflict(plan.declared, plan.stored, plan.version)
        _print_plan(plan)
        await _write(client, plan, _audit_entry(plan, files, who))

    _with_client(platform_url, change)


class _Plan(msgspec.Struct, frozen=True):
    """Difference between the set in force and the declared one.

    Attributes:
      declared: The set in the files.
      stored: The set in force, None if there is none.
      version: Version of `stored`, `ids.NO_VERSION` if there is none.
      changes: What apply changes.
    """

    declared: declarations.DeclarationSet
    stored: declarations.StoredObject[declarations.DeclarationSet] | None
    version: ids.Version
    changes: tuple[declarations.Change, ...]


def _with_client(
    url: str, action: Callable[[store_lib.PlatformClient], Awaitable[_T]]
) -> _T:
    async def act() -> _T:
        try:
            client = store_lib.HttpPlatformClient(
                url, clock_lib.SystemClock(), metrics_lib.Metrics()
            )
        except ValueError as error:
            raise common.fail(str(error), common.ExitCode.USAGE) from error
        try:
            return await action(client)
        finally:
            client.close()

    with common.reporting_errors():
        return asyncio.run(act())


async def _plan(
    client: store_lib.PlatformClient, files: list[pathlib.Path]
) -> _Plan:
    loaded = declarations.load(files)
    key = declarations.config_key(loaded.declaration_set().id)
    listing = await client.list_objects(declarations.CONFIG_PREFIX)
    found_by_key = {found.key: found for found in listing.objects}
    found = found_by_key.pop(key, None)
    stored = _decode(found)
    others = (_decode(other) for other in found_by_key.values())
    in_force = stored.value if stored else None
    declared = declarations.validate(
        loaded, in_force, [other.value for other in others if other]
    )
    changes = tuple(diff_lib.diff(in_force, declared))
    version = found.version if found else ids.NO_VERSION
    return _Plan(declared, stored, version, changes)


def _decode(
    found: store_lib.Versioned | None,
) -> declarations.StoredObject[declarations.DeclarationSet] | None:
    if found is None:
        return None
    try:
        return declarations.decode_set(found.value)
    except msgspec.DecodeError as error:
        finding = findings.Finding(findings.Place(found.key), str(error))
        raise findings.FindingsError([finding]) from error


def _print_plan(plan: _Plan) -> None:
    for change in plan.changes:
        typer.echo(declarations.describe(change))
    name = plan.declared.id
    if plan.changes:
        typer.echo(f"set {name}: {len(plan.changes)} changes")
        typer.echo(f"version in force: {plan.version}")
    else:
        typer.echo(f"set {name} is already in force at version {plan.version}")


def _audit_entry(
    plan: _Plan, files: list[pathlib.Path], who: str
) -> declarations.AuditEntry:
    names = " ".join(str(path) for path in files)
    before, after = diff_lib.audit_values(plan.changes)
    return declarations.AuditEntry(
        who=who,
        wall_ms=clock_lib.SystemClock().wall_ms(),
        command=f"apply {names}",
        before=before,
        after=after,
        operation=ids.new_operation_id(),
    )


async def _write(
    client: store_lib.PlatformClient,
    plan: _Plan,
    entry: declarations.AuditEntry,
) -> None:
    amended = declarations.amend(plan.stored, plan.declared, entry)
    key = declarations.config_key(plan.declared.id)
    for displaced in amended.displaced:
        await _archive(client, key, displaced)
    value = declarations.encode(amended.stored)
    try:
        result = await client.update(key, value, plan.version)
    except store_lib.ValueTooLarge as error:
        finding = findings.Finding(findings.Place(key), f"too large: {error}")
        raise findings.FindingsError([finding]) from error
    match result:
        case store_lib.Written(version):
            typer.echo(f"set {plan.declared.id} in force at version {version}")
        case store_lib.Conflict(current):
            version = current.version if current else ids.NO_VERSION
            raise _conflict(plan.declared, _decode(current), version)
        case store_lib.Undecided():
            raise common.fail(
                "platform unavailable: it is unknown whether the change took"
                " effect; run apply again",
                common.ExitCode.PLATFORM_UNAVAILABLE,
            )


async def _archive(
    client: store_lib.PlatformClient,
    key: str,
    entry: declarations.AuditEntry,
) -> None:
    """Archives an audit entry that does not fit in its object any more.

    A conflict means that an earlier attempt has already written it.
    """
    result = await client.update(
        declarations.audit_key(key, entry.sequence),
        msgspec.json.encode(entry),
        ids.NO_VERSION,
    )
    if isinstance(result, store_lib.Undecided):
        raise store_lib.PlatformUnavailable(
            "it is unknown whether an old audit entry was archived, and the set"
            " was not changed; run apply again"
        )


def _conflict(
    declared: declarations.DeclarationSet,
    stored: declarations.StoredObject[declarations.DeclarationSet] | None,
    version: ids.Version,
) -> typer.Exit:
    lines = [f"conflict: set {declared.id} is now at version {version}"]
    if stored is None:
        lines.append("it was deleted")
    elif stored.audit:
        other = stored.audit[-1]
        lines.append(
            f"changed by {other.who} with '{other.command}'"
            f" at {_utc_text(other.wall_ms)}"
        )
    return common.fail("\n".join(lines), common.ExitCode.CONFLICT)


def _utc_text(wall_ms: int) -> str:
    moment = datetime.datetime.fromtimestamp(wall_ms / _MS_PER_S, datetime.UTC)
    return moment.isoformat(timespec="seconds")
