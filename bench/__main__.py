"""Runs scenarios by name, all of them by default."""

import sys

from bench import measurement
from bench import results
from bench import scenarios

__all__ = ["main"]


def main() -> None:
    """Runs the scenarios named as arguments and saves their figures.

    Exits with a message if a name is unknown.
    """
    names = sys.argv[1:] or list(scenarios.BY_NAME)
    unknown = [name for name in names if name not in scenarios.BY_NAME]
    if unknown:
        known = ", ".join(scenarios.BY_NAME)
        sys.exit(f"no scenario {', '.join(unknown)}; there are: {known}")
    for name in names:
        print(f"scenario {name}", flush=True)
        measured = scenarios.BY_NAME[name]()
        measurement.save(measured)
        results.print_table(measured.table)
        for figure, value in sorted(measured.figures.items()):
            print(f"  {figure}: {value:g}", flush=True)


if __name__ == "__main__":
    main()
