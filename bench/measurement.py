"""Figures of a scenario and the files that store them."""

from collections.abc import Sequence
import pathlib

import msgspec

__all__ = ["DIRECTORY", "Measurement", "save"]

DIRECTORY = pathlib.Path(__file__).parent.parent / "docs" / "measurements"

_SUMMARY = "summary.json"
# Breaches of invariants, counted by several scenarios; the summary holds their
# sums, so that a scenario without breaches does not hide those of another one.
_SUMMED = ("double_runs", "false_not_run", "region_breaches", "crossed")


class Measurement(msgspec.Struct, frozen=True, kw_only=True):
    """Result of one scenario.

    Attributes:
      name: Name of the scenario.
      definition: What was done, in one paragraph.
      figures: Numbers for the summary; each name ends with its unit or says
        that it is a count, share or ratio.
      table: Rows of the table; the first one is the header.
    """

    name: str
    definition: str
    figures: dict[str, float]
    table: tuple[tuple[str, ...], ...]


def save(measurement: Measurement, directory: pathlib.Path = DIRECTORY) -> None:
    """Writes the scenario's files and its figures into the summary."""
    directory.mkdir(parents=True, exist_ok=True)
    _write_json(directory / f"{measurement.name}.json", measurement)
    page = directory / f"{measurement.name}.md"
    page.write_text(_page(measurement), encoding="utf-8")
    summary_path = directory / _SUMMARY
    summary: dict[str, float] = {}
    if summary_path.exists():
        summary = msgspec.json.decode(summary_path.read_bytes())
    summary.update(measurement.figures)
    summary.update(_sums(directory))
    _write_json(summary_path, dict(sorted(summary.items())))


def _sums(directory: pathlib.Path) -> dict[str, float]:
    """Returns each summed figure over all saved scenarios that have it."""
    sums: dict[str, float] = {}
    for path in directory.glob("*.json"):
        if path.name == _SUMMARY:
            continue
        saved = msgspec.json.decode(path.read_bytes(), type=Measurement)
        for name in _SUMMED:
            if name in saved.figures:
                sums[name] = sums.get(name, 0) + saved.figures[name]
    return sums


def _write_json(path: pathlib.Path, value: object) -> None:
    text = msgspec.json.format(msgspec.json.encode(value), indent=2)
    path.write_bytes(text + b"\n")


def _page(measurement: Measurement) -> str:
    figures = (
        f"| `{name}` | {value:g} |"
        for name, value in sorted(measurement.figures.items())
    )
    lines = [
        f"# {measurement.name}",
        "",
        measurement.definition,
        "",
        "| figure | value |",
        "| --- | --- |",
        *figures,
        "",
        *_table(measurement.table),
        "",
    ]
    return "\n".join(lines)


def _table(rows: Sequence[Sequence[str]]) -> list[str]:
    if not rows:
        return []
    head, *body = rows
    divider = ["---"] * len(head)
    return [f"| {' | '.join(row)} |" for row in (head, divider, *body)]
