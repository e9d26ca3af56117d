"""Findings about input, collected with their place and reported together."""

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
    """Where a finding was made; line and column start at 1, 0 is unknown."""

    source: str
    line: int = 0
    column: int = 0

    def __str__(self) -> str:
        parts = [self.source]
        parts.extend(str(part) for part in (self.line, self.column) if part)
        return ":".join(parts)


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Finding:
    """One fault of the input.

    Example:
      >>> str(Finding(Place("a.yaml", 3), "unknown region 'x'"))
      "a.yaml:3: unknown region 'x'"
    """

    place: Place
    message: str

    def __str__(self) -> str:
        return f"{self.place}: {self.message}"


class FindingsError(ValueError):
    """All faults that were found in one input."""

    def __init__(self, findings: Iterable[Finding]):
        self.findings = tuple(findings)
        super().__init__("\n".join(str(finding) for finding in self.findings))
