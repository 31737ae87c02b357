"""Parse the settings that a front node is started with, in the simulator and on the platform.

The settings are one nested JSON object. Unknown keys are ignored. A required setting that is missing, or a
setting with an invalid value, raises SettingError with the path of the setting.
"""

from collections.abc import Mapping
from enum import Enum
from math import isfinite
from typing import Any, TypeVar

from heathford.interface import Effect, Group, EngineKind, Role, Workload

NS_PER_SECOND = 1_000_000_000

# Values of the settings `idempotency`, `group` and `roleByKind`.
EFFECTS = {
    "free": Effect.IDEMPOTENT,
    "guarded": Effect.IDEMPOTENCY_KEYED,
    "single_shot": Effect.NON_IDEMPOTENT,
}
GROUPS = {"all": Group.ALL, "zone": Group.ZONE, "cell": Group.CELL}
ROLES = {"read": Role.PREFILL, "write": Role.DECODE, "both": Role.COMBINED}

E = TypeVar("E", bound=Enum)


class SettingError(ValueError):
    """A required setting is missing, or a setting has an invalid value; the message names its path."""


def setting_path(path: tuple[str | int, ...]) -> str:
    """Return the path as text, for example ``categories[0].name``."""
    return "".join(f"[{key}]" if isinstance(key, int) else f".{key}" for key in path).lstrip(".")


def get_setting(info: Any, *path: str | int) -> Any:
    """Return the value at that path. Raises SettingError where there is none; null counts as missing."""
    value = info
    for length, key in enumerate(path, 1):
        if not isinstance(value, list if isinstance(key, int) else Mapping):
            parent = setting_path(path[: length - 1]) or "the settings"
            raise SettingError(f"{parent} has the wrong type: {str(value)[:80]!r}")
        value = value[key] if isinstance(key, int) else value.get(key)
        if value is None:
            raise SettingError(f"{setting_path(path[:length])} is missing")
    return value


def get_number(info: Any, *path: str | int, minimum: float = 0.0) -> float:
    """Return the finite number at that path, at least `minimum`. Raises SettingError."""
    value = get_setting(info, *path)
    if (
        isinstance(value, bool)
        or not isinstance(value, int | float)
        or not (isfinite(value) and minimum <= value)
    ):
        raise SettingError(f"{setting_path(path)} is not a number in the allowed range: {str(value)[:80]!r}")
    return float(value)


def get_integer(info: Any, *path: str | int, minimum: int = 0) -> int:
    """Return the integer at that path, at least `minimum`. Raises SettingError."""
    value = get_number(info, *path, minimum=minimum)
    if value != int(value):
        raise SettingError(f"{setting_path(path)} is not an integer: {value!r}")
    return int(value)


def has_setting(info: Any, *path: str) -> bool:
    """Return whether an optional setting is present and not null.

    Raises SettingError where its parent is missing.
    """
    return get_setting(info, *path[:-1]).get(path[-1]) is not None


def get_boolean(info: Any, *path: str) -> bool:
    """Return the flag at that path; a missing one is false. Raises SettingError."""
    value = has_setting(info, *path) and get_setting(info, *path)
    if not isinstance(value, bool):
        raise SettingError(f"{setting_path(path)} is neither true nor false: {str(value)[:80]!r}")
    return value


def get_choice(choices: Mapping[str, E], info: Any, *path: str | int) -> E:
    """Return the member of `choices` that is named at that path. Raises SettingError."""
    value = get_setting(info, *path)
    if not isinstance(value, str) or value not in choices:
        raise SettingError(f"{setting_path(path)} is not one of {', '.join(choices)}: {str(value)[:80]!r}")
    return choices[value]


def list_indices(info: Any, *path: str | int, same_length_as: tuple[str | int, ...] = ()) -> range:
    """Return the indices of the list at that path.

    Raises SettingError, also where its length differs from that of the list at `same_length_as`.
    """
    value = get_setting(info, *path)
    if not isinstance(value, list):
        raise SettingError(f"{setting_path(path)} is not a list: {str(value)[:80]!r}")
    if same_length_as and len(value) != (expected := len(list_indices(info, *same_length_as))):
        raise SettingError(
            f"{setting_path(path)} has {len(value)} entries, {setting_path(same_length_as)} {expected}"
        )
    return range(len(value))


def read_kinds(info: Mapping[str, Any]) -> list[EngineKind]:
    """Return the engine kinds in the order of the settings. Raises SettingError."""
    roles, memory = ("familyInfo", "roleByKind"), ("familyInfo", "memoryTokens")
    return [
        EngineKind(get_choice(ROLES, info, *roles, index), get_integer(info, *memory, index))
        for index in list_indices(info, *memory, same_length_as=roles)
    ]


def read_workloads(info: Mapping[str, Any]) -> list[Workload]:
    """Return the workloads in the order of the settings. Raises SettingError."""
    per_1000, token = ("familyInfo", "aimUsPer1000PromptTokens"), ("familyInfo", "tokenAimNs")
    if not list_indices(info, "categories"):
        raise SettingError("categories is empty: at least one workload is required")
    list_indices(info, *token, same_length_as=("categories",))
    has_per_1000 = (
        has_setting(info, *per_1000)
        and len(list_indices(info, *per_1000, same_length_as=("categories",))) > 0
    )
    workloads = []
    for index in list_indices(info, "categories"):
        category = ("categories", index)
        effect = get_choice(EFFECTS, info, *category, "idempotency")
        keyed = effect is Effect.IDEMPOTENCY_KEYED  # only these need a group and a key lifetime
        workloads.append(
            Workload(
                latency_target=get_number(info, *category, "objectiveNs", minimum=1.0) / NS_PER_SECOND,
                target_per_1000=get_number(info, *per_1000, index) / 1e6 if has_per_1000 else 0.0,
                token_target=get_number(info, *token, index) / NS_PER_SECOND,
                effect=effect,
                group=get_choice(GROUPS, info, *category, "group") if keyed else Group.ALL,
                key_ttl=get_number(info, *category, "keyTtlNs") / NS_PER_SECOND if keyed else 0.0,
                value=get_number({"worth": 1.0, **get_setting(info, *category)}, "worth"),
            )
        )
    return workloads


def read_router_settings(info: Mapping[str, Any]) -> dict[str, Any]:
    """Return the keyword arguments of Router, except its clock, its actions and its seed.

    Raises SettingError. The number of this front node and its zone default to 0, the first. The number of
    front nodes has no default: a front node that assumed it was the only one would use the shares of all
    front nodes of a cold engine's slow-start budget.
    """
    max_retry_after = ("policyLimits", "maxRetryAfterNs")
    return dict(
        kinds=read_kinds(info),
        workloads=read_workloads(info),
        number=get_integer(info, "myNumber") if has_setting(info, "myNumber") else 0,
        fronts=get_integer(info, "nInstances", minimum=1),
        zone=get_integer(info, "zone") if has_setting(info, "zone") else 0,
        try_limit=get_integer(info, "policyLimits", "tryLimit"),
        pin_limit=get_number(info, "familyInfo", "pinLimitNs") / NS_PER_SECOND,
        may_cancel=get_boolean(info, "policyLimits", "cancel"),
        may_delay_retries=get_boolean(info, "policyLimits", "retryAfter"),
        longest_retry=get_number(info, *max_retry_after) / NS_PER_SECOND
        if has_setting(info, *max_retry_after)
        else 0.0,
        warm_after=get_number(info, "safety", "warmAfterNs") / NS_PER_SECOND,
        cold_from=get_number(info, "safety", "coldFrom"),
        cold_multiple=get_number(info, "safety", "tipMultiple"),
        cold_window=get_number(info, "safety", "fallNs") / NS_PER_SECOND,
        read_in_place=get_boolean(info, "familyInfo", "readInPlace"),
    )
