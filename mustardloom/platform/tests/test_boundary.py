"""Tests that names from the wire formats occur in the adapter only."""

import pathlib
import re
import tomllib

from deploy import launcher

_PACKAGE = pathlib.Path(__file__).parents[2]
_ROOT = _PACKAGE.parent
# Names that occur only in the platform's wire formats.
_WIRE_NAMES = re.compile(
    r"x-(shard-key|server-load|not-executed|response-signature|deadline-ms"
    r"|expected-instance|caller-service|instance-id|cold-ms"
    r"|credential|tenant)\b"
    r"|instances\.(heartbeat|deregister)|weighted_clusters|allowed_regions"
    r"|api_keys|auth_exempt|path_prefix|current_rev|cold_left\"|hold_time|app_addr"
    r"|/objects/",
    re.IGNORECASE,
)


def _sources():
    for path in sorted(_PACKAGE.rglob("*.py")):
        parts = path.relative_to(_PACKAGE).parts
        if parts[0] != "platform" and "tests" not in parts:
            yield path


def test_no_wire_name_outside_the_adapter():
    """Guards against changes of a wire format that need changes elsewhere."""
    found = {
        str(path): match.group()
        for path in _sources()
        if (match := _WIRE_NAMES.search(path.read_text(encoding="utf-8")))
    }
    assert found == {}


def test_deployed_libraries_are_the_locked_ones():
    """Guards against deploying other versions than those tested."""
    locked = (_ROOT / "requirements.lock").read_text().split()
    deployed = (_ROOT / "deploy" / "requirements.txt").read_text().split()
    assert set(deployed) <= set(locked)


def test_deploy_file_runs_the_daemon_on_each_target_vm():
    """Guards against a deployment that starts nothing."""
    deploy = tomllib.loads((_ROOT / "deploy" / "system.toml").read_text())
    (role,) = deploy["roles"].values()
    assert role["serves"] == ["sidecar"]
    program, *words = role["run"].split()
    # The build makes it.
    assert program == str(launcher.PROGRAM)
    module = words[words.index("-m") + 1]
    assert (_ROOT / (module.replace(".", "/") + ".py")).exists()
