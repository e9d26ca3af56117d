"""Tests of reading and checking declaration files."""

import pathlib

import pytest

from mustardloom import declarations
from mustardloom import findings
from mustardloom import ids

FAULTY = """\
set: kibanda
regions: [pwani, ziwa]
availability_zones:
  - {id: pwani-1, region: pwanj}
services:
  - id: salio
    keyed: true
    capcity: 6
    capacity: -6
  - id: malipo
    capacity: many
  - id: malipo
routes:
  - id: a
    prefix: /salio
    service: salio
  - id: b
    prefix: /salio/
    service: salo
    key: cookie:X
  - id: c
    prefix: nowhere
    service: malipo
    organisations: [soko, zoko]
    idempotent_methods: [GET, get]
organisations:
  - id: soko
    home_regions: [pwani, zwia]
  - home_regions: []
"""


def _write(directory, text, name="set.yaml"):
    path = pathlib.Path(directory, name)
    path.write_text(text)
    return path


def _faults(path, in_force=None):
    with pytest.raises(findings.FindingsError) as caught:
        declarations.load_set([path], in_force)
    sources = {found.place.source for found in caught.value.findings}
    assert sources == {str(path)}
    return [
        (found.place.line, found.place.column, found.message)
        for found in caught.value.findings
    ]


def test_all_faults_are_reported_together_with_their_places(tmp_path):
    """Guards against a check that stops at the first fault of a file."""
    path = _write(tmp_path, FAULTY)
    faults = _faults(path)
    assert [fault[:2] for fault in faults] == [
        (4, 27),
        (8, 5),
        (9, 15),
        (11, 15),
        (12, 9),
        (14, 5),
        (18, 13),
        (19, 14),
        (20, 10),
        (22, 13),
        (24, 27),
        (25, 31),
        (28, 27),
        (29, 5),
    ]
    text = "\n".join(message for _, _, message in faults)
    assert "unknown region 'pwanj'; did you mean 'pwani'?" in text
    assert "unknown field 'capcity'; did you mean 'capacity'?" in text
    assert "capacity is -6, must be at least 1" in text
    assert "duplicate service 'malipo'" in text
    assert "route 'a' needs a key: service 'salio' is keyed" in text
    assert "prefix '/salio/' is also that of route 'a'" in text
    assert "unknown service 'salo'; did you mean 'salio'?" in text
    assert "unknown organisation 'zoko'; did you mean 'soko'?" in text
    assert "unknown region 'zwia'; did you mean 'ziwa'?" in text
    assert "id: missing" in text


def test_slot_count_in_force_is_fixed(tmp_path):
    """Guards against keys that hash to another slot while they have owners."""
    path = _write(
        tmp_path, "set: a\nservices:\n  - id: salio\n    slot_count: 32\n"
    )
    service = declarations.Service(id=ids.ServiceId("salio"), slot_count=64)
    in_force = declarations.DeclarationSet(
        id=ids.DeclarationSetId("a"), services=(service,)
    )
    assert _faults(path, in_force) == [
        (
            4,
            17,
            "slot_count of service 'salio' is fixed for its lifetime:"
            " 64 is in force",
        )
    ]


def test_files_of_a_directory_declare_one_set(tmp_path):
    """Guards against unresolved references between files of a set."""
    _write(tmp_path, "set: a\nservices: [{id: salio}]\n", "1.yaml")
    _write(
        tmp_path,
        "routes: [{id: r, prefix: /r, service: salio}]\n",
        "2.yml",
    )
    found = declarations.load_set([tmp_path])
    assert (found.id, len(found.services), len(found.routes)) == ("a", 1, 1)


@pytest.mark.parametrize(
    ("text", "place"),
    [
        ("set: a\nservices: [{id: x]\n", (2, 18)),
        ("set: a\nset: b\n", (2, 1)),
        ("", (0, 0)),
        ("- a\n", (1, 1)),
        ("set: 5\n", (1, 6)),
        ("set: a/b\n", (1, 6)),
        ("set: a\nservices: {}\n", (2, 11)),
    ],
)
def test_malformed_files_are_findings(tmp_path, text, place):
    """Guards against an exception in place of a finding."""
    faults = _faults(_write(tmp_path, text))
    assert [fault[:2] for fault in faults] == [place]


def test_missing_file_is_a_finding(tmp_path):
    """Guards against applying an empty set after a misspelt file name."""
    assert len(_faults(tmp_path / "absent.yaml")) == 1
