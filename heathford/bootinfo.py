"""Reads the settings that an instance is started with, on the simulator's wire and on the platform alike.

They come as one nested object. What is not named here is skipped; what is needed and missing,
or can't be used, is told by its name. Nothing here decides anything.
"""

from collections.abc import Mapping
from enum import Enum
from math import isfinite
from typing import Any, TypeVar

from heathford.interface import Effect, Group, EngineKind, Role, Workload

NS = 1_000_000_000

EFFECTS = {
    "free": Effect.IDEMPOTENT,
    "guarded": Effect.IDEMPOTENCY_KEYED,
    "single_shot": Effect.NON_IDEMPOTENT,
}
GROUPS = {"all": Group.ALL, "zone": Group.ZONE, "cell": Group.CELL}
ROLES = {"read": Role.PREFILL, "write": Role.DECODE, "both": Role.COMBINED}

E = TypeVar("E", bound=Enum)


class SettingError(ValueError):
    """A setting that is missing or can't be used, by its name."""


def named(path: tuple[str | int, ...]) -> str:
    return "".join(f"[{key}]" if isinstance(key, int) else f".{key}" for key in path).lstrip(".")


def found(info: Any, *path: str | int) -> Any:
    """What stands at that place; null is not there."""
    at = info
    for length, key in enumerate(path, 1):
        if not isinstance(at, list if isinstance(key, int) else Mapping):
            where = named(path[: length - 1]) or "the settings"
            raise SettingError(f"{where} can't be used: {str(at)[:80]!r}")
        at = at[key] if isinstance(key, int) else at.get(key)
        if at is None:
            raise SettingError(f"{named(path[:length])} is missing")
    return at


def figure(info: Any, *path: str | int, least: float = 0.0) -> float:
    value = found(info, *path)
    if (
        isinstance(value, bool)
        or not isinstance(value, int | float)
        or not (isfinite(value) and least <= value)
    ):
        raise SettingError(f"{named(path)} is no figure in range: {str(value)[:80]!r}")
    return float(value)


def count(info: Any, *path: str | int, least: int = 0) -> int:
    value = figure(info, *path, least=least)
    if value != int(value):
        raise SettingError(f"{named(path)} is no whole number: {value!r}")
    return int(value)


def is_told(info: Any, *path: str) -> bool:
    return found(info, *path[:-1]).get(path[-1]) is not None


def flag(info: Any, *path: str) -> bool:
    """What is not said to be allowed is not."""
    value = is_told(info, *path) and found(info, *path)
    if not isinstance(value, bool):
        raise SettingError(f"{named(path)} is neither true nor false: {str(value)[:80]!r}")
    return value


def word(words: Mapping[str, E], info: Any, *path: str | int) -> E:
    value = found(info, *path)
    if not isinstance(value, str) or value not in words:
        raise SettingError(f"{named(path)} is none of {', '.join(words)}: {str(value)[:80]!r}")
    return words[value]


def places(info: Any, *path: str | int, like: tuple[str | int, ...] = ()) -> range:
    """Of a list, which is as long as the one at `like`."""
    value = found(info, *path)
    if not isinstance(value, list):
        raise SettingError(f"{named(path)} is no list: {str(value)[:80]!r}")
    if like and len(value) != (wanted := len(places(info, *like))):
        raise SettingError(f"{named(path)} has {len(value)} entries, {named(like)} {wanted}")
    return range(len(value))


def kinds_of(info: Mapping[str, Any]) -> list[EngineKind]:
    roles, memory = ("familyInfo", "roleByKind"), ("familyInfo", "memoryTokens")
    return [
        EngineKind(word(ROLES, info, *roles, place), count(info, *memory, place))
        for place in places(info, *memory, like=roles)
    ]


def workloads_of(info: Mapping[str, Any]) -> list[Workload]:
    stretch, token = ("familyInfo", "aimUsPer1000PromptTokens"), ("familyInfo", "tokenAimNs")
    if not places(info, "categories"):
        raise SettingError("categories is empty: there is nothing to take")
    places(info, *token, like=("categories",))
    stretches = is_told(info, *stretch) and len(places(info, *stretch, like=("categories",))) > 0
    workloads = []
    for place in places(info, "categories"):
        at = ("categories", place)
        effect = word(EFFECTS, info, *at, "idempotency")
        tokened = effect is Effect.IDEMPOTENCY_KEYED  # these alone need a group and a time
        workloads.append(
            Workload(
                latency_target=figure(info, *at, "objectiveNs", least=1.0) / NS,
                target_per_1000=figure(info, *stretch, place) / 1e6 if stretches else 0.0,
                token_target=figure(info, *token, place) / NS,
                effect=effect,
                group=word(GROUPS, info, *at, "group") if tokened else Group.ALL,
                key_ttl=figure(info, *at, "keyTtlNs") / NS if tokened else 0.0,
                value=figure({"worth": 1.0, **found(info, *at)}, "worth"),
            )
        )
    return workloads


def figures_of(info: Mapping[str, Any]) -> dict[str, Any]:
    """What a Router takes beside its clock, door and seed, by the names of its arguments.

    Raises SettingError. A number or zone that is not told is the first. How many fronts there are must be
    told: one that thought itself alone would take all fronts' part of what a cold engine bears."""
    longest = ("policyLimits", "maxRetryAfterNs")
    return dict(
        kinds=kinds_of(info),
        workloads=workloads_of(info),
        number=count(info, "myNumber") if is_told(info, "myNumber") else 0,
        fronts=count(info, "nInstances", least=1),
        zone=count(info, "zone") if is_told(info, "zone") else 0,
        try_limit=count(info, "policyLimits", "tryLimit"),
        pin_limit=figure(info, "familyInfo", "pinLimitNs") / NS,
        may_cancel=flag(info, "policyLimits", "cancel"),
        may_delay_retries=flag(info, "policyLimits", "retryAfter"),
        longest_retry=figure(info, *longest) / NS if is_told(info, *longest) else 0.0,
        warm_after=figure(info, "safety", "warmAfterNs") / NS,
        cold_from=figure(info, "safety", "coldFrom"),
        cold_multiple=figure(info, "safety", "tipMultiple"),
        cold_window=figure(info, "safety", "fallNs") / NS,
        read_in_place=flag(info, "familyInfo", "readInPlace"),
    )
