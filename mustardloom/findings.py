"""Faults found in input, collected with their position, reported together."""

from collections.abc import Iterable
import dataclasses

__all__ = ["Finding", "FindingsError", "Place", "raise_if_any"]


def raise_if_any(findings: Iterable["Finding"]) -> None:
    """Raises FindingsError if there is at least one finding."""
    collected = tuple(findings)
    if collected:
        raise FindingsError(collected)


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Place:
    """Position of a finding.

    Attributes:
      source: What was checked, such as a file, a flag or a key of the store.
      line: Line in the source from 1, 0 if unknown.
      column: Column in the line from 1, 0 if unknown.
    """

    source: str
    line: int = 0
    column: int = 0

    def __str__(self) -> str:
        parts = [self.source]
        parts.extend(str(part) for part in (self.line, self.column) if part)
        return ":".join(parts)


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Finding:
    """One fault in the input.

    Example:
      >>> str(Finding(Place("a.yaml", 3), "unknown region 'x'"))
      "a.yaml:3: unknown region 'x'"
    """

    place: Place
    message: str

    def __str__(self) -> str:
        return f"{self.place}: {self.message}"


class FindingsError(ValueError):
    """Raised with all faults that were found in one input."""

    def __init__(self, findings: Iterable[Finding]):
        self.findings = tuple(findings)
        super().__init__("\n".join(str(finding) for finding in self.findings))
