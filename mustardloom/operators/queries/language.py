"""Query `help`: all forms of queries and commands."""

from mustardloom.operators import results

__all__ = ["usage"]

_LINES = (
    (
        "owner of KEY in SERVICE [for ORGANISATION]",
        "who owns a key, since when and why",
    ),
    ("load of TARGET", "requests as counted by the gate and by the target"),
    ("targets [in AZ] [of SERVICE]", "all targets and their states"),
    ("slots of SERVICE", "owner of each slot"),
    ("moves", "planned moves in progress"),
    ("stops", "what is out of service"),
    ("configuration", "versions in force at each daemon"),
    ("audit [of OBJECT] [last N]", "changes by operators, newest first"),
    ("stop availability-zone NAME [force]", "takes a zone out of service"),
    ("start availability-zone NAME", "brings a zone back"),
    ("stop target VM [force]", "takes a target out of service"),
    ("start target VM", "brings a target back"),
    ("move slot N of GROUP to VM", "moves a slot; later moves may change it"),
    ("move key KEY of SERVICE to VM", "moves the slot of a key, as above"),
    ("confirm lost VM", "states that no process runs on a VM any more"),
    ("help", "this list"),
)


def usage() -> results.Table:
    """Returns each form of line with its meaning."""
    return results.Table(columns=("line", "meaning"), rows=_LINES)
