"""The functions that an operator's script may call, and the values allowed for their fields."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any

Check = Callable[[Any], str | None]  # None for an allowed value, otherwise a text that says what is allowed


def text(value: Any) -> str | None:
    """Check that a value is a string that is not empty."""
    return None if isinstance(value, str) and value else "a text that is not empty"


def one_of(*allowed: str) -> Check:
    """Return a check for one of the allowed strings."""
    return lambda value: None if value in allowed else "one of " + ", ".join(repr(a) for a in allowed)


def number(minimum: float, maximum: float) -> Check:
    """Return a check for a number within both bounds."""

    def check(value: Any) -> str | None:
        valid = isinstance(value, int | float) and not isinstance(value, bool) and minimum <= value <= maximum
        return None if valid else f"a number from {minimum:g} to {maximum:g}"

    return check


def integer(minimum: int, maximum: int) -> Check:
    """Return a check for a whole number within both bounds."""

    def check(value: Any) -> str | None:
        valid = isinstance(value, int) and not isinstance(value, bool) and minimum <= value <= maximum
        return None if valid else f"a whole number from {minimum} to {maximum}"

    return check


def boolean(value: Any) -> str | None:
    """Check that a value is True or False."""
    return None if isinstance(value, bool) else "True or False"


def loopback(value: Any) -> str | None:
    """Check that a value is an IPv4 loopback address."""
    parts = value.split(".") if isinstance(value, str) else []
    valid = len(parts) == 4 and parts[0] == "127" and all(p.isdigit() and int(p) < 256 for p in parts)
    return None if valid else "an address in 127.0.0.0/8, such as '127.0.0.1'"


def dict_of(**fields: Check) -> Check:
    """Return a check for a dict with exactly these keys, each with a value that its own check allows."""

    def check(value: Any) -> str | None:
        if not isinstance(value, Mapping):
            return "a dict with " + ", ".join(fields)
        problems = [
            f"{name}: {fields[name](value[name])}"
            for name in fields
            if name in value and fields[name](value[name])
        ]
        problems += [f"{name} is missing" for name in fields if name not in value]
        problems += [f"{name} is not known" for name in value if name not in fields]
        return f"a dict with {', '.join(fields)} ({'; '.join(problems)})" if problems else None

    return check


@dataclass(frozen=True)
class Field:
    """One field of a script function."""

    check: Check
    required: bool = True
    default: Any = None  # the value of an optional field that is left out
    references: str = ""  # the function whose declared names the value must be one of


@dataclass(frozen=True)
class FunctionSpec:
    """One function that a script may call, and how often. Its first field may be given without a name."""

    fields: Mapping[str, Field]
    min_calls: int = 0
    max_calls: int = 100_000

    @property
    def has_name(self) -> bool:
        """Whether its declarations have names, which must then be unique."""
        return "name" in self.fields


SECONDS = number(0.0, 86_400.0)  # up to a day
POSITIVE_SECONDS = number(0.001, 86_400.0)
REQUIRED_TEXT = Field(text)

STAND_IN_MODEL = dict_of(
    slots=integer(1, 100_000),
    queue=integer(0, 1_000_000),
    step=POSITIVE_SECONDS,
    step_per_stream=SECONDS,
    step_per_1000_context=SECONDS,
    read_rate=number(1.0, 1e9),
    chunk=integer(1, 1_000_000),
    move_rate=number(1.0, 1e12),
    rack_rate=number(1.0, 1e12),
    zone_rate=number(1.0, 1e12),
    state_life=POSITIVE_SECONDS,
    kept_texts=integer(0, 1_000_000),
)

SCRIPT_FUNCTIONS: Mapping[str, FunctionSpec] = {
    "zone": FunctionSpec({"name": REQUIRED_TEXT}, min_calls=1),
    "rack": FunctionSpec({"name": REQUIRED_TEXT, "zone": Field(text, references="zone")}, min_calls=1),
    "kind": FunctionSpec(
        {
            "name": REQUIRED_TEXT,
            "role": Field(one_of("read", "write", "both")),  # prefill, decode and combined engines
            "memory": Field(integer(1, 10**12)),  # tokens of KV cache
            "stand_in": Field(STAND_IN_MODEL, required=False),
        },
        min_calls=1,
    ),
    "workload": FunctionSpec(
        {
            "name": REQUIRED_TEXT,
            "latency_target": Field(POSITIVE_SECONDS),
            "target_per_1000": Field(SECONDS),
            "client_timeout": Field(POSITIVE_SECONDS),
            "token_target": Field(POSITIVE_SECONDS),
            "effect": Field(one_of("idempotent", "tokened", "non-idempotent")),  # tokened: idempotency-keyed
            # The engines that share their idempotency keys; a cell is a rack.
            "group": Field(one_of("all", "zone", "cell"), required=False, default="all"),
            "memory_time": Field(SECONDS, required=False, default=0.0),  # s that engines remember the keys
            "value": Field(number(0.0, 1e9)),
            "longest": Field(integer(1, 10_000_000)),  # answer, in tokens
            "bytes_per_token": Field(number(0.1, 100.0)),
            "most_prompt": Field(integer(1, 10**9)),  # tokens
        },
        min_calls=1,
    ),
    "member": FunctionSpec({"name": REQUIRED_TEXT}),  # a tenant
    "engine": FunctionSpec(
        {
            "name": REQUIRED_TEXT,
            "kind": Field(text, references="kind"),
            "rack": Field(text, references="rack"),
            "size": Field(number(0.001, 1e6), required=False, default=1.0),
        }
    ),
    "front": FunctionSpec(
        {
            "name": REQUIRED_TEXT,
            "zone": Field(text, references="zone"),
            "address": Field(loopback),
            "port": Field(integer(0, 65_535), required=False, default=0),
        },
        min_calls=1,
    ),
    "registry": FunctionSpec(
        {
            "address": Field(loopback),
            "port": Field(integer(0, 65_535), required=False, default=0),
            "lag": Field(SECONDS),
            "history": Field(integer(1, 1_000_000)),
        },
        min_calls=1,
        max_calls=1,
    ),
    "safety": FunctionSpec(
        {
            "drain_grace": Field(number(0.5, 2.0)),
            "pin_limit": Field(number(0.3, 1.0)),  # s for which a prefill state may be held
            # Slow start: an engine starts with the share cold_from of its capacity, and has all of it after
            # warm_after s. In any cold_window s it may get cold_multiple times what its capacity allows.
            "cold_from": Field(number(0.01, 1.0)),
            "cold_multiple": Field(number(1.0, 100.0)),
            "cold_window": Field(POSITIVE_SECONDS),
            "warm_after": Field(SECONDS),
            "answer_margin": Field(SECONDS),
            "stream_limit": Field(POSITIVE_SECONDS),
            "stream_silence": Field(POSITIVE_SECONDS),
        },
        min_calls=1,
        max_calls=1,
    ),
    "dispatches": FunctionSpec(  # attempts at engines
        {
            "try_limit": Field(integer(1, 100)),
            "may_cancel": Field(boolean),
            "longest_retry": Field(SECONDS),
            "connect_timeout": Field(POSITIVE_SECONDS),
            "connections": Field(integer(1, 100_000)),
            "idle": Field(POSITIVE_SECONDS),
            "longest_line": Field(integer(256, 2**30)),
        },
        min_calls=1,
        max_calls=1,
    ),
    "sessions": FunctionSpec(
        {
            "most": Field(integer(1, 10_000_000)),  # sessions of a front node
            "most_out": Field(integer(1, 1_000_000)),  # requests in progress, of one session
            "longest_message": Field(integer(1024, 2**30)),
            "unsent": Field(integer(1024, 2**30)),
            "most_held": Field(integer(1024, 2**40)),  # bytes of unanswered requests, of all sessions
            "read_ahead": Field(integer(1024, 2**40)),  # bytes of unanswered requests, of one session
            "most_waiting": Field(integer(0, 1_000_000)),  # requests that wait, of one session
            "ping": Field(POSITIVE_SECONDS),
            "pong": Field(POSITIVE_SECONDS),
            "idle": Field(POSITIVE_SECONDS),
            "slow": Field(POSITIVE_SECONDS),
            "come_back": Field(SECONDS),  # s for which a final answer is kept for a repeat
            "identities": Field(integer(0, 10**8)),  # idempotency keys kept
            "stop_within": Field(SECONDS),
            "farewell": Field(SECONDS),  # s over which a stopping front node closes its sessions
            "compress": Field(boolean),
        },
        min_calls=1,
        max_calls=1,
    ),
    "service_tls": FunctionSpec(
        {
            "certificate": REQUIRED_TEXT,
            "key": REQUIRED_TEXT,
            "authority": Field(text, required=False, default=""),
            "clients": Field(one_of("none", "optional", "required"), required=False, default="none"),
        },
        max_calls=1,
    ),
    "engine_tls": FunctionSpec(
        {
            "authority": REQUIRED_TEXT,
            "certificate": Field(text, required=False, default=""),
            "key": Field(text, required=False, default=""),
        },
        max_calls=1,
    ),
    "stand_in_tls": FunctionSpec(
        {
            "certificate": REQUIRED_TEXT,
            "key": REQUIRED_TEXT,
            "authority": Field(text, required=False, default=""),
            "clients": Field(one_of("none", "optional", "required"), required=False, default="none"),
        },
        max_calls=1,
    ),
    "store": FunctionSpec(
        # without: what a front node does, without its store, with requests that must not run twice.
        {"folder": REQUIRED_TEXT, "without": Field(one_of("refuse", "serve"))},
        max_calls=1,
    ),
    "batches": FunctionSpec(
        {
            "folder": REQUIRED_TEXT,
            "most_file": Field(integer(1024, 2**40)),
            "most_files": Field(integer(1024, 2**50)),
        },
        max_calls=1,
    ),
    "seed": FunctionSpec({"value": Field(integer(0, 2**63 - 1))}, min_calls=0, max_calls=1),
}
