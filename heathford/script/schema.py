"""The words a script may call, and what each of their fields must be."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any

Check = Callable[[Any], str | None]  # what is allowed, where the value isn't


def text(value: Any) -> str | None:
    return None if isinstance(value, str) and value else "a text that is not empty"


def one_of(*allowed: str) -> Check:
    return lambda value: None if value in allowed else "one of " + ", ".join(repr(a) for a in allowed)


def number(least: float, most: float) -> Check:
    def check(value: Any) -> str | None:
        fits = isinstance(value, int | float) and not isinstance(value, bool) and least <= value <= most
        return None if fits else f"a number from {least:g} to {most:g}"

    return check


def whole(least: int, most: int) -> Check:
    def check(value: Any) -> str | None:
        fits = isinstance(value, int) and not isinstance(value, bool) and least <= value <= most
        return None if fits else f"a whole number from {least} to {most}"

    return check


def switch(value: Any) -> str | None:
    return None if isinstance(value, bool) else "True or False"


def loopback(value: Any) -> str | None:
    parts = value.split(".") if isinstance(value, str) else []
    fits = len(parts) == 4 and parts[0] == "127" and all(p.isdigit() and int(p) < 256 for p in parts)
    return None if fits else "an address in 127.0.0.0/8, such as '127.0.0.1'"


def table(**fields: Check) -> Check:
    def check(value: Any) -> str | None:
        if not isinstance(value, Mapping):
            return "a dict with " + ", ".join(fields)
        wrong = [
            f"{name}: {fields[name](value[name])}"
            for name in fields
            if name in value and fields[name](value[name])
        ]
        wrong += [f"{name} is missing" for name in fields if name not in value]
        wrong += [f"{name} is not known" for name in value if name not in fields]
        return f"a dict with {', '.join(fields)} ({'; '.join(wrong)})" if wrong else None

    return check


@dataclass(frozen=True)
class Field:
    check: Check
    needed: bool = True
    absent: Any = None  # what stands for a field left out
    names: str = ""  # the word whose declared names it must be one of


@dataclass(frozen=True)
class FunctionSpec:
    fields: Mapping[str, Field]
    least: int = 0  # how often it must be called
    most: int = 100_000

    @property
    def named(self) -> bool:
        return "name" in self.fields


SECONDS = number(0.0, 86_400.0)
SOME_SECONDS = number(0.001, 86_400.0)
NAME = Field(text)

STAND_IN = table(
    slots=whole(1, 100_000),
    queue=whole(0, 1_000_000),
    step=SOME_SECONDS,
    step_per_stream=SECONDS,
    step_per_1000_context=SECONDS,
    read_rate=number(1.0, 1e9),
    chunk=whole(1, 1_000_000),
    move_rate=number(1.0, 1e12),
    rack_rate=number(1.0, 1e12),
    zone_rate=number(1.0, 1e12),
    state_life=SOME_SECONDS,
    kept_texts=whole(0, 1_000_000),
)

SCRIPT_FUNCTIONS: Mapping[str, FunctionSpec] = {
    "zone": FunctionSpec({"name": NAME}, least=1),
    "rack": FunctionSpec({"name": NAME, "zone": Field(text, names="zone")}, least=1),
    "kind": FunctionSpec(
        {
            "name": NAME,
            "role": Field(one_of("read", "write", "both")),
            "memory": Field(whole(1, 10**12)),
            "stand_in": Field(STAND_IN, needed=False),
        },
        least=1,
    ),
    "workload": FunctionSpec(
        {
            "name": NAME,
            "latency_target": Field(SOME_SECONDS),
            "target_per_1000": Field(SECONDS),
            "client_timeout": Field(SOME_SECONDS),
            "token_target": Field(SOME_SECONDS),
            "effect": Field(one_of("idempotent", "tokened", "non-idempotent")),
            "group": Field(one_of("all", "zone", "cell"), needed=False, absent="all"),
            "memory_time": Field(SECONDS, needed=False, absent=0.0),
            "value": Field(number(0.0, 1e9)),
            "longest": Field(whole(1, 10_000_000)),
            "bytes_per_token": Field(number(0.1, 100.0)),
            "most_prompt": Field(whole(1, 10**9)),
        },
        least=1,
    ),
    "member": FunctionSpec({"name": NAME}),
    "engine": FunctionSpec(
        {
            "name": NAME,
            "kind": Field(text, names="kind"),
            "rack": Field(text, names="rack"),
            "size": Field(number(0.001, 1e6), needed=False, absent=1.0),
        }
    ),
    "front": FunctionSpec(
        {
            "name": NAME,
            "zone": Field(text, names="zone"),
            "address": Field(loopback),
            "port": Field(whole(0, 65_535), needed=False, absent=0),
        },
        least=1,
    ),
    "registry": FunctionSpec(
        {
            "address": Field(loopback),
            "port": Field(whole(0, 65_535), needed=False, absent=0),
            "lag": Field(SECONDS),
            "history": Field(whole(1, 1_000_000)),
        },
        least=1,
        most=1,
    ),
    "safety": FunctionSpec(
        {
            "drain_grace": Field(number(0.5, 2.0)),
            "pin_limit": Field(number(0.3, 1.0)),
            "cold_from": Field(number(0.01, 1.0)),
            "cold_multiple": Field(number(1.0, 100.0)),
            "cold_window": Field(SOME_SECONDS),
            "warm_after": Field(SECONDS),
            "answer_margin": Field(SECONDS),
            "stream_limit": Field(SOME_SECONDS),
            "stream_silence": Field(SOME_SECONDS),
        },
        least=1,
        most=1,
    ),
    "dispatches": FunctionSpec(
        {
            "try_limit": Field(whole(1, 100)),
            "may_cancel": Field(switch),
            "longest_retry": Field(SECONDS),
            "connect_timeout": Field(SOME_SECONDS),
            "connections": Field(whole(1, 100_000)),
            "idle": Field(SOME_SECONDS),
            "longest_line": Field(whole(256, 2**30)),
        },
        least=1,
        most=1,
    ),
    "sessions": FunctionSpec(
        {
            "most": Field(whole(1, 10_000_000)),
            "most_out": Field(whole(1, 1_000_000)),
            "longest_message": Field(whole(1024, 2**30)),
            "unsent": Field(whole(1024, 2**30)),
            "most_held": Field(whole(1024, 2**40)),
            "read_ahead": Field(whole(1024, 2**40)),
            "most_waiting": Field(whole(0, 1_000_000)),
            "ping": Field(SOME_SECONDS),
            "pong": Field(SOME_SECONDS),
            "idle": Field(SOME_SECONDS),
            "slow": Field(SOME_SECONDS),
            "come_back": Field(SECONDS),
            "identities": Field(whole(0, 10**8)),
            "stop_within": Field(SECONDS),
            "farewell": Field(SECONDS),
            "compress": Field(switch),
        },
        least=1,
        most=1,
    ),
    "service_tls": FunctionSpec(
        {
            "certificate": NAME,
            "key": NAME,
            "authority": Field(text, needed=False, absent=""),
            "clients": Field(one_of("none", "optional", "required"), needed=False, absent="none"),
        },
        most=1,
    ),
    "engine_tls": FunctionSpec(
        {
            "authority": NAME,
            "certificate": Field(text, needed=False, absent=""),
            "key": Field(text, needed=False, absent=""),
        },
        most=1,
    ),
    "stand_in_tls": FunctionSpec(
        {
            "certificate": NAME,
            "key": NAME,
            "authority": Field(text, needed=False, absent=""),
            "clients": Field(one_of("none", "optional", "required"), needed=False, absent="none"),
        },
        most=1,
    ),
    "store": FunctionSpec({"folder": NAME, "without": Field(one_of("refuse", "serve"))}, most=1),
    "batches": FunctionSpec(
        {"folder": NAME, "most_file": Field(whole(1024, 2**40)), "most_files": Field(whole(1024, 2**50))},
        most=1,
    ),
    "seed": FunctionSpec({"value": Field(whole(0, 2**63 - 1))}, least=0, most=1),
}
