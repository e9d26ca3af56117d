"""Tests of the parser of the operator language."""

import pytest

from mustardloom.operators import parser


@pytest.mark.parametrize(
    ("line", "column", "expected"),
    [
        ("stop zone x", 6, "'availability-zone', 'target'"),
        ("stop target", 12, "a name"),
        ("stop target a b", 15, "'force', the end of the line"),
        ("move slot x of a to b", 11, "a number"),
        ("ownership of x", 1, "'owner'"),
        ('owner of "a in salio', 10, 'a name in "quotes"'),
        ("", 1, "'stop'"),
    ],
)
def test_error_names_place_and_what_was_expected(line, column, expected):
    """Guards against errors without the column or the expected words."""
    with pytest.raises(parser.ParseError) as caught:
        parser.parse(line)
    (found,) = caught.value.findings
    assert found.place.column == column
    assert expected in found.message


def test_keyword_is_a_name_where_a_name_is_expected():
    """Guards against keys that cannot be queried as they equal a keyword."""
    statement = parser.parse('owner of stop in of for "two words"')
    assert statement == parser.Owner(
        parser.Name("stop", 10),
        parser.Name("of", 18),
        parser.Name("two words", 25),
    )


@pytest.mark.parametrize(
    ("line", "zone", "service"),
    [
        ("targets", None, None),
        ("targets in a", parser.Name("a", 12), None),
        ("targets of b", None, parser.Name("b", 12)),
        ("targets in a of b", parser.Name("a", 12), parser.Name("b", 17)),
    ],
)
def test_optional_parts_do_not_shift(line, zone, service):
    """Guards against `of` being read as `in` when `in` is absent."""
    assert parser.parse(line) == parser.Targets(zone, service)


@pytest.mark.parametrize(
    ("line", "words"),
    [
        ("stop ", ["availability-zone", "target"]),
        ("owner of a ", ["in"]),
        ("audit ", ["last", "of"]),
        ("nonsense ", []),
    ],
)
def test_completion_offers_the_next_keywords(line, words):
    """Guards against completions that the parser rejects."""
    assert parser.next_words(line) == words
