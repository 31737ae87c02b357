"""Checks of the operators' script: all mistakes are reported at once, each with its line."""

from pathlib import Path

import pytest

from heathford.script.script import ScriptError, read_script

LOCAL_SCRIPT = Path(__file__).parent.parent / "deploy" / "local.star"


def find_mistakes(tmp_path: Path, source: str) -> list[str]:
    path = tmp_path / "s.star"
    path.write_text(source)
    with pytest.raises(ScriptError) as raised:
        read_script(path)
    return [f"{m.line}: {m.message}" for m in raised.value.mistakes]


def test_the_local_script_is_valid() -> None:
    script = read_script(LOCAL_SCRIPT)
    assert len(script.all("engine")) == 12 and script.only("safety").pin_limit == 0.3
    assert script.all("workload")[0].group == "all"


@pytest.mark.parametrize(
    "old, new, line_of, message",
    [
        ('role = "read"', 'role = "reed"', 'role = "reed"', "kind: role is 'reed'; allowed is one of 'read'"),
        ("memory = 220000", "memory = 2.5", "memory = 2.5", "kind: memory is 2.5; allowed is a whole number"),
        ("chunk = 512", "chunks = 512", 'kind("decode"', "chunks is not known"),
        (
            'zone("south")',
            'zone("north")',
            'zone("north")\nrack',
            "zone: 'north' is already declared at line",
        ),
        (
            'rack("n2", zone = "north")',
            'rack("n2", zone = "nord")',
            'rack("n2"',
            "no zone declared; declared",
        ),
        ("value = 1.0,", 'value = "much",', 'value = "much"', "value is 'much'; allowed is a number"),
        ("longest = 200", "colour = 3", "colour = 3", "workload: colour is not known"),
        ("drain_grace = 2.0", "drain_grace = 3.0", "drain_grace", "allowed is a number from 0.5 to 2"),
        ('address = "127.0.1.1"', 'address = "10.0.0.1"', '"10.0.0.1"', "an address in 127.0.0.0/8"),
        ("seed(7)", "seed(7)\nseed(8)", "seed(8)", "seed: may be called 1 time(s)"),
        ("seed(7)", "seed(7, 8)", "seed(7, 8)", "takes one value without a name"),
        ("seed(7)", "seed(7)\nsede(8)", "sede(8)", "Variable `sede` not found"),
        ("seed(7)", "seed(7 8)", "seed(7 8", "Parse error"),
    ],
)
def test_a_mistake_is_reported_with_its_line(
    tmp_path: Path, old: str, new: str, line_of: str, message: str
) -> None:
    source = LOCAL_SCRIPT.read_text().replace(old, new, 1)
    line = source[: source.index(line_of)].count("\n") + 1
    assert any(m.startswith(f"{line}: ") and message in m for m in find_mistakes(tmp_path, source))


def test_all_mistakes_are_reported_at_once(tmp_path: Path) -> None:
    source = LOCAL_SCRIPT.read_text().replace("seed(7)", 'rack("x", zone = "y")\nmember(3)\nfront("z")')
    # An unknown zone, a number for a name, and the two missing fields of a front.
    assert len(find_mistakes(tmp_path, source)) == 4
