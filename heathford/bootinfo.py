"""Reads the settings that an instance is started with, on the simulator's wire and on the platform alike.

They come as one nested object. What is not named here is skipped; what is needed and missing,
or can't be used, is told by its name. Nothing here decides anything.
"""

from collections.abc import Mapping
from enum import Enum
from math import isfinite
from typing import Any, TypeVar

from heathford.interface import Effect, Group, EngineKind, Role, Workload

NS_PER_SECOND = 1_000_000_000

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


def setting_path(path: tuple[str | int, ...]) -> str:
    return "".join(f"[{key}]" if isinstance(key, int) else f".{key}" for key in path).lstrip(".")


def get_setting(info: Any, *path: str | int) -> Any:
    """What stands at that place; null is not there."""
    at = info
    for length, key in enumerate(path, 1):
        if not isinstance(at, list if isinstance(key, int) else Mapping):
            where = setting_path(path[: length - 1]) or "the settings"
            raise SettingError(f"{where} can't be used: {str(at)[:80]!r}")
        at = at[key] if isinstance(key, int) else at.get(key)
        if at is None:
            raise SettingError(f"{setting_path(path[:length])} is missing")
    return at


def get_number(info: Any, *path: str | int, minimum: float = 0.0) -> float:
    value = get_setting(info, *path)
    if (
        isinstance(value, bool)
        or not isinstance(value, int | float)
        or not (isfinite(value) and minimum <= value)
    ):
        raise SettingError(f"{setting_path(path)} is no figure in range: {str(value)[:80]!r}")
    return float(value)


def count(info: Any, *path: str | int, minimum: int = 0) -> int:
    value = get_number(info, *path, minimum=minimum)
    if value != int(value):
        raise SettingError(f"{setting_path(path)} is no whole number: {value!r}")
    return int(value)


def is_told(info: Any, *path: str) -> bool:
    return get_setting(info, *path[:-1]).get(path[-1]) is not None


def flag(info: Any, *path: str) -> bool:
    """What is not said to be allowed is not."""
    value = is_told(info, *path) and get_setting(info, *path)
    if not isinstance(value, bool):
        raise SettingError(f"{setting_path(path)} is neither true nor false: {str(value)[:80]!r}")
    return value


def word(words: Mapping[str, E], info: Any, *path: str | int) -> E:
    value = get_setting(info, *path)
    if not isinstance(value, str) or value not in words:
        raise SettingError(f"{setting_path(path)} is none of {', '.join(words)}: {str(value)[:80]!r}")
    return words[value]


def list_indices(info: Any, *path: str | int, same_length_as: tuple[str | int, ...] = ()) -> range:
    """Of a list, which is as long as the one at `like`."""
    value = get_setting(info, *path)
    if not isinstance(value, list):
        raise SettingError(f"{setting_path(path)} is no list: {str(value)[:80]!r}")
    if same_length_as and len(value) != (wanted := len(list_indices(info, *same_length_as))):
        raise SettingError(
            f"{setting_path(path)} has {len(value)} entries, {setting_path(same_length_as)} {wanted}"
        )
    return range(len(value))


def kinds_of(info: Mapping[str, Any]) -> list[EngineKind]:
    roles, memory = ("familyInfo", "roleByKind"), ("familyInfo", "memoryTokens")
    return [
        EngineKind(word(ROLES, info, *roles, place), count(info, *memory, place))
        for place in list_indices(info, *memory, same_length_as=roles)
    ]


def workloads_of(info: Mapping[str, Any]) -> list[Workload]:
    stretch, token = ("familyInfo", "aimUsPer1000PromptTokens"), ("familyInfo", "tokenAimNs")
    if not list_indices(info, "categories"):
        raise SettingError("categories is empty: there is nothing to take")
    list_indices(info, *token, same_length_as=("categories",))
    stretches = (
        is_told(info, *stretch) and len(list_indices(info, *stretch, same_length_as=("categories",))) > 0
    )
    workloads = []
    for place in list_indices(info, "categories"):
        at = ("categories", place)
        effect = word(EFFECTS, info, *at, "idempotency")
        tokened = effect is Effect.IDEMPOTENCY_KEYED  # these alone need a group and a time
        workloads.append(
            Workload(
                latency_target=get_number(info, *at, "objectiveNs", minimum=1.0) / NS_PER_SECOND,
                target_per_1000=get_number(info, *stretch, place) / 1e6 if stretches else 0.0,
                token_target=get_number(info, *token, place) / NS_PER_SECOND,
                effect=effect,
                group=word(GROUPS, info, *at, "group") if tokened else Group.ALL,
                key_ttl=get_number(info, *at, "keyTtlNs") / NS_PER_SECOND if tokened else 0.0,
                value=get_number({"worth": 1.0, **get_setting(info, *at)}, "worth"),
            )
        )
    return workloads


def read_router_settings(info: Mapping[str, Any]) -> dict[str, Any]:
    """What a Router takes beside its clock, door and seed, by the names of its arguments.

    Raises SettingError. A number or zone that is not told is the first. How many fronts there are must be
    told: one that thought itself alone would take all fronts' part of what a cold engine bears."""
    longest = ("policyLimits", "maxRetryAfterNs")
    return dict(
        kinds=kinds_of(info),
        workloads=workloads_of(info),
        number=count(info, "myNumber") if is_told(info, "myNumber") else 0,
        fronts=count(info, "nInstances", minimum=1),
        zone=count(info, "zone") if is_told(info, "zone") else 0,
        try_limit=count(info, "policyLimits", "tryLimit"),
        pin_limit=get_number(info, "familyInfo", "pinLimitNs") / NS_PER_SECOND,
        may_cancel=flag(info, "policyLimits", "cancel"),
        may_delay_retries=flag(info, "policyLimits", "retryAfter"),
        longest_retry=get_number(info, *longest) / NS_PER_SECOND if is_told(info, *longest) else 0.0,
        warm_after=get_number(info, "safety", "warmAfterNs") / NS_PER_SECOND,
        cold_from=get_number(info, "safety", "coldFrom"),
        cold_multiple=get_number(info, "safety", "tipMultiple"),
        cold_window=get_number(info, "safety", "fallNs") / NS_PER_SECOND,
        read_in_place=flag(info, "familyInfo", "readInPlace"),
    )
