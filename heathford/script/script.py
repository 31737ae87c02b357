"""Run a Starlark script and check its declarations. Every mistake is reported with its file and line."""

import ast
from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import starlark

from heathford.script.schema import SCRIPT_FUNCTIONS, Field, FunctionSpec

# The keyword argument that passes a call's line numbers, which Starlark doesn't tell the called function.
LINES_FIELD = "_lines"


@dataclass(frozen=True)
class Mistake:
    """What is wrong at one line of a script."""

    file: str
    line: int
    message: str

    def __str__(self) -> str:
        return f"{self.file}:{self.line}: {self.message}"


class ScriptError(Exception):
    """The script is invalid; `mistakes` holds all that was found, in line order."""

    def __init__(self, mistakes: list[Mistake]) -> None:
        super().__init__("\n".join(map(str, mistakes)))
        self.mistakes = mistakes


@dataclass(frozen=True)
class Declaration:
    """One call of a script function: its checked fields, as attributes, and its file and line.

    `values` also holds the line of each field, by its name, under LINES_FIELD.
    """

    function: str
    file: str
    line: int
    values: Mapping[str, Any]

    def __getattr__(self, name: str) -> Any:
        try:
            return self.values[name]
        except KeyError:
            raise AttributeError(name) from None


def add_line_numbers(source: str, functions: Mapping[str, FunctionSpec]) -> str:
    """Return the source with an argument that holds its line numbers added to each call of a function.

    No line moves. A source that Python can't parse, though Starlark may, is returned unchanged: its mistakes
    are then reported without line numbers.
    """
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
        and n.func.id in functions
        and not any(k.arg is None for k in n.keywords)
    ]
    for call in sorted(calls, key=lambda n: (-n.lineno, -n.col_offset)):
        if not call.keywords and not call.args:
            continue
        line_numbers = " ".join([f"={call.lineno}", *(f"{k.arg}={k.value.lineno}" for k in call.keywords)])
        last = max(
            (*call.args, *(k.value for k in call.keywords)),
            key=lambda n: (n.end_lineno or 0, n.end_col_offset or 0),
        )
        row = (last.end_lineno or 1) - 1
        at = last.end_col_offset or 0
        line = lines[row].encode()
        lines[row] = (line[:at] + f', {LINES_FIELD}="{line_numbers}"'.encode() + line[at:]).decode()
    return "".join(lines)


@dataclass
class ScriptReader:
    """Collects the declarations of one script, and the mistakes found in them."""

    file: str
    functions: Mapping[str, FunctionSpec]
    declared: dict[str, list[Declaration]] = field(default_factory=dict)
    mistakes: list[Mistake] = field(default_factory=list)

    def make_function(self, function: str) -> Callable[..., None]:
        """Return the callable for the script under that name: it adds a declaration."""

        def call(*args: Any, **arguments: Any) -> None:
            lines = {}
            for entry in arguments.pop(LINES_FIELD, "=0").split():
                name, _, line = entry.rpartition("=")
                lines[name] = int(line)
            self.add_call(function, args, arguments, lines)

        return call

    def add_call(
        self, function: str, args: tuple[Any, ...], arguments: dict[str, Any], lines: dict[str, int]
    ) -> None:
        """Check the fields of one call and add its declaration; lines: by field, the call's own under ''."""
        fields, line = self.functions[function].fields, lines.get("", 0)

        def add_mistake(message: str, name: str = "") -> None:
            self.mistakes.append(Mistake(self.file, lines.get(name, line), f"{function}: {message}"))

        first = next(iter(fields))
        if len(args) > 1:
            add_mistake(f"takes one value without a name, its {first}, and {len(args)} are given")
        elif args and first in arguments:
            add_mistake(f"{first} is given twice", first)
        elif args:
            arguments = {first: args[0], **arguments}
        for name in arguments:
            if name not in fields:
                add_mistake(f"{name} is not known; allowed are {', '.join(fields)}", name)
        values: dict[str, Any] = {}
        for name, field_spec in fields.items():
            if name not in arguments:
                if field_spec.required:
                    add_mistake(f"{name} is missing")
                values[name] = field_spec.default
                continue
            allowed = field_spec.check(arguments[name])
            if allowed:
                add_mistake(f"{name} is {arguments[name]!r}; allowed is {allowed}", name)
            values[name] = arguments[name]
        call = Declaration(function, self.file, line, values | {LINES_FIELD: lines})
        self.declared.setdefault(function, []).append(call)

    def check_declarations(self) -> None:
        """Check what only the whole script shows.

        Names must be unique and declared where they are referred to, and functions called as often as their
        specs allow.
        """
        names_by_function = {
            function: {d.values.get("name") for d in calls} for function, calls in self.declared.items()
        }
        for function, spec in self.functions.items():
            calls = self.declared.get(function, [])
            if len(calls) < spec.min_calls:
                self.mistakes.append(
                    Mistake(
                        self.file,
                        1,
                        f"{function}: must be called {spec.min_calls} time(s) at least, and is {len(calls)}",
                    )
                )
            if len(calls) > spec.max_calls:
                self.mistakes.append(
                    Mistake(
                        self.file,
                        calls[spec.max_calls].line,
                        f"{function}: may be called {spec.max_calls} time(s) at most, and is {len(calls)}",
                    )
                )
            first_lines: dict[Any, int] = {}
            for call in calls:
                if spec.has_name and call.name in first_lines:
                    self.mistakes.append(
                        Mistake(
                            self.file,
                            call.line,
                            f"{function}: {call.name!r} is already declared at line {first_lines[call.name]}",
                        )
                    )
                if spec.has_name:
                    first_lines.setdefault(call.name, call.line)
                for name, field_spec in spec.fields.items():
                    self.check_reference(call, name, field_spec, names_by_function)

    def check_reference(
        self, call: Declaration, name: str, spec: Field, names_by_function: Mapping[str, set[Any]]
    ) -> None:
        """Check that a field which refers to a declared name does so."""
        value = call.values[name]
        if (
            spec.references
            and isinstance(value, str)
            and value not in names_by_function.get(spec.references, set())
        ):
            names = (
                ", ".join(sorted(repr(n) for n in names_by_function.get(spec.references, set()))) or "none"
            )
            line = call.values[LINES_FIELD].get(name, call.line)
            self.mistakes.append(
                Mistake(
                    self.file,
                    line,
                    f"{call.function}: {name} is {value!r}, no {spec.references} declared; "
                    f"declared are {names}",
                )
            )


class Script:
    """The declarations of a script by function, each in the order of its calls."""

    def __init__(self, path: Path, declared: Mapping[str, list[Declaration]]) -> None:
        self.path, self.declared = path, declared

    def all(self, function: str) -> list[Declaration]:
        return self.declared.get(function, [])

    def only(self, function: str) -> Declaration:
        """Return the declaration of a function that must be called exactly once."""
        return self.declared[function][0]

    def named(self, function: str, name: str) -> Declaration:
        """Return the function's declaration of that name. Raises StopIteration if there is none."""
        return next(d for d in self.all(function) if d.name == name)

    def index_of(self, function: str, name: str) -> int:
        """Return the place of that name among the function's declarations."""
        return [d.name for d in self.all(function)].index(name)


def parse_starlark_error(problem: starlark.StarlarkError, file: str) -> Iterator[Mistake]:
    """Return the mistake that a parser or evaluation error reports, at line 1 if it names no line."""
    message = str(problem)
    line = next((int(part.split(":")[1]) for part in message.split("--> ")[1:] if ":" in part), 1)
    yield Mistake(file, line, message.splitlines()[0].removeprefix("error: "))


def read_script(
    path: Path,
    functions: Mapping[str, FunctionSpec] = SCRIPT_FUNCTIONS,
    extra_functions: Mapping[str, Callable[..., Any]] | None = None,
) -> Script:
    """Read and check a script.

    extra_functions: further functions that the script may call, which declare nothing. Raises ScriptError
    with all mistakes found, and OSError if the file can't be read.
    """
    source, file = path.read_text(), str(path)
    reader = ScriptReader(file, functions)
    module = starlark.Module()
    for function_name in functions:
        module.add_callable(function_name, reader.make_function(function_name))
    for name, function in (extra_functions or {}).items():
        module.add_callable(name, function)
    dialect, globals_ = starlark.Dialect.extended(), starlark.Globals.standard()
    try:
        starlark.parse(file, source, dialect)  # reports positions in the original source
        starlark.eval(module, starlark.parse(file, add_line_numbers(source, functions), dialect), globals_)
    except starlark.StarlarkError as problem:
        reader.mistakes.extend(parse_starlark_error(problem, file))
    else:
        reader.check_declarations()
    if reader.mistakes:
        raise ScriptError(sorted(reader.mistakes, key=lambda m: m.line))
    return Script(path, reader.declared)
