"""Reads a Starlark script, runs it and checks what it declares; every mistake is told with file and line."""

import ast
from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import starlark

from heathford.script.schema import SCRIPT_FUNCTIONS, Field, FunctionSpec

LINES_FIELD = (
    "_lines"  # the field in which a call's own lines travel: Starlark tells a called function nothing
)


@dataclass(frozen=True)
class Mistake:
    file: str
    line: int
    what: str

    def __str__(self) -> str:
        return f"{self.file}:{self.line}: {self.what}"


class ScriptError(Exception):
    """The script can't be used; `mistakes` holds each reason, in the order of their lines."""

    def __init__(self, mistakes: list[Mistake]) -> None:
        super().__init__("\n".join(map(str, mistakes)))
        self.mistakes = mistakes


@dataclass(frozen=True)
class Declaration:
    """One call of a word: its checked fields, as attributes, and where it stands."""

    function: str
    file: str
    line: int
    values: Mapping[str, Any]

    def __getattr__(self, name: str) -> Any:
        try:
            return self.values[name]
        except KeyError:
            raise AttributeError(name) from None


def with_lines(source: str, words: Mapping[str, FunctionSpec]) -> str:
    """The source with each call of a word told its own lines; no line moves. What Python can't parse, though
    Starlark may, stays as it is: its mistakes are then told without a line of their own."""
    try:
        tree = ast.parse(source)
    except (SyntaxError, ValueError):
        return source
    lines = source.splitlines(keepends=True)
    calls = [
        n
        for n in ast.walk(tree)
        if isinstance(n, ast.Call)
        and isinstance(n.func, ast.Name)
        and n.func.id in words
        and not any(k.arg is None for k in n.keywords)
    ]
    for call in sorted(calls, key=lambda n: (-n.lineno, -n.col_offset)):
        if not call.keywords and not call.args:
            continue
        places = " ".join([f"={call.lineno}", *(f"{k.arg}={k.value.lineno}" for k in call.keywords)])
        last = max(
            (*call.args, *(k.value for k in call.keywords)),
            key=lambda n: (n.end_lineno or 0, n.end_col_offset or 0),
        )
        row = (last.end_lineno or 1) - 1
        at = last.end_col_offset or 0
        line = lines[row].encode()
        lines[row] = (line[:at] + f', {LINES_FIELD}="{places}"'.encode() + line[at:]).decode()
    return "".join(lines)


@dataclass
class Reading:
    """What a script has declared so far, and what was wrong with it."""

    file: str
    words: Mapping[str, FunctionSpec]
    declared: dict[str, list[Declaration]] = field(default_factory=dict)
    mistakes: list[Mistake] = field(default_factory=list)

    def caller(self, word: str) -> Callable[..., None]:
        def call(*args: Any, **given: Any) -> None:
            lines = {}
            for place in given.pop(LINES_FIELD, "=0").split():
                name, _, line = place.rpartition("=")
                lines[name] = int(line)
            self.take(word, args, given, lines)

        return call

    def take(self, word: str, args: tuple[Any, ...], given: dict[str, Any], lines: dict[str, int]) -> None:
        fields, line = self.words[word].fields, lines.get("", 0)

        def wrong(what: str, name: str = "") -> None:
            self.mistakes.append(Mistake(self.file, lines.get(name, line), f"{word}: {what}"))

        first = next(iter(fields))
        if len(args) > 1:
            wrong(f"takes one value without a name, its {first}, and {len(args)} are given")
        elif args and first in given:
            wrong(f"{first} is given twice", first)
        elif args:
            given = {first: args[0], **given}
        for name in given:
            if name not in fields:
                wrong(f"{name} is not known; allowed are {', '.join(fields)}", name)
        values: dict[str, Any] = {}
        for name, wanted in fields.items():
            if name not in given:
                if wanted.needed:
                    wrong(f"{name} is missing")
                values[name] = wanted.absent
                continue
            allowed = wanted.check(given[name])
            if allowed:
                wrong(f"{name} is {given[name]!r}; allowed is {allowed}", name)
            values[name] = given[name]
        call = Declaration(word, self.file, line, values | {LINES_FIELD: lines})
        self.declared.setdefault(word, []).append(call)

    def check_whole(self) -> None:
        """What only the whole shows: names twice or never declared, words called too seldom or too often."""
        known = {word: {d.values.get("name") for d in calls} for word, calls in self.declared.items()}
        for word, rule in self.words.items():
            calls = self.declared.get(word, [])
            if len(calls) < rule.least:
                self.mistakes.append(
                    Mistake(
                        self.file,
                        1,
                        f"{word}: must be called {rule.least} time(s) at least, and is {len(calls)}",
                    )
                )
            if len(calls) > rule.most:
                self.mistakes.append(
                    Mistake(
                        self.file,
                        calls[rule.most].line,
                        f"{word}: may be called {rule.most} time(s) at most, and is {len(calls)}",
                    )
                )
            seen: dict[Any, int] = {}
            for call in calls:
                if rule.named and call.name in seen:
                    self.mistakes.append(
                        Mistake(
                            self.file,
                            call.line,
                            f"{word}: {call.name!r} stands already at line {seen[call.name]}",
                        )
                    )
                if rule.named:
                    seen.setdefault(call.name, call.line)
                for name, wanted in rule.fields.items():
                    self.check_name(call, name, wanted, known)

    def check_name(self, call: Declaration, name: str, wanted: Field, known: Mapping[str, set[Any]]) -> None:
        value = call.values[name]
        if wanted.names and isinstance(value, str) and value not in known.get(wanted.names, set()):
            names = ", ".join(sorted(repr(n) for n in known.get(wanted.names, set()))) or "none"
            line = call.values[LINES_FIELD].get(name, call.line)
            self.mistakes.append(
                Mistake(
                    self.file,
                    line,
                    f"{call.function}: {name} is {value!r}, no {wanted.names} declared; declared are {names}",
                )
            )


class Script:
    """What a script declares, word by word, in the order of its calls."""

    def __init__(self, path: Path, declared: Mapping[str, list[Declaration]]) -> None:
        self.path, self.declared = path, declared

    def all(self, word: str) -> list[Declaration]:
        return self.declared.get(word, [])

    def only(self, word: str) -> Declaration:
        return self.declared[word][0]

    def named(self, word: str, name: str) -> Declaration:
        return next(d for d in self.all(word) if d.name == name)

    def place(self, word: str, name: str) -> int:
        return [d.name for d in self.all(word)].index(name)


def mistakes_of(problem: starlark.StarlarkError, file: str) -> Iterator[Mistake]:
    told = str(problem)
    line = next((int(part.split(":")[1]) for part in told.split("--> ")[1:] if ":" in part), 1)
    yield Mistake(file, line, told.splitlines()[0].removeprefix("error: "))


def read_script(
    path: Path,
    words: Mapping[str, FunctionSpec] = SCRIPT_FUNCTIONS,
    more: Mapping[str, Callable[..., Any]] | None = None,
) -> Script:
    """Raises ScriptError with all mistakes found; OSError where the file can't be read."""
    source, file = path.read_text(), str(path)
    reading = Reading(file, words)
    module = starlark.Module()
    for word in words:
        module.add_callable(word, reading.caller(word))
    for name, function in (more or {}).items():
        module.add_callable(name, function)
    dialect, globals_ = starlark.Dialect.extended(), starlark.Globals.standard()
    try:
        starlark.parse(file, source, dialect)  # its own places, before lines are put in
        starlark.eval(module, starlark.parse(file, with_lines(source, words), dialect), globals_)
    except starlark.StarlarkError as problem:
        reading.mistakes.extend(mistakes_of(problem, file))
    else:
        reading.check_whole()
    if reading.mistakes:
        raise ScriptError(sorted(reading.mistakes, key=lambda m: m.line))
    return Script(path, reading.declared)
