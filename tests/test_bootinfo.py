"""Settings of a front node: a missing or invalid setting is named in the error."""

from copy import deepcopy
from typing import Any

import orjson
import pytest

from heathford.bootinfo import SettingError, read_router_settings
from heathford.interface import Effect, Group, Role
from heathford.platform.start import StartError, read_configuration
from heathford.standin.platform import settings

KEYED = {"name": "g", "objectiveNs": 10**9, "idempotency": "guarded", "group": "cell", "keyTtlNs": 2e9}


def settings_with(path: str, value: Any) -> dict[str, Any]:
    """Return valid settings with the value at that path replaced, or removed where it is `...`."""
    changed: dict[str, Any] = deepcopy(settings())
    parent: Any = changed
    *parents, last = [int(key) if key.isdigit() else key for key in path.split(".")]
    for key in parents:
        parent = parent[key]
    if value is ...:
        del parent[last]
    else:
        parent[last] = value
    return changed


@pytest.mark.parametrize(
    "path, value, message",
    [
        *(
            (path, ..., f"{name or path} is missing")
            for path, name in [
                ("familyInfo", ""),
                ("familyInfo.roleByKind", ""),
                ("familyInfo.memoryTokens", ""),
                ("familyInfo.tokenAimNs", ""),
                ("familyInfo.pinLimitNs", ""),
                ("categories", ""),
                ("categories.1.objectiveNs", "categories[1].objectiveNs"),
                ("policyLimits.tryLimit", ""),
                ("categories.0.idempotency", "categories[0].idempotency"),
                ("nInstances", ""),
                ("safety", ""),
                ("safety.warmAfterNs", ""),
                ("safety.coldFrom", ""),
                ("safety.tipMultiple", ""),
                ("safety.fallNs", ""),
            ]
        ),
        ("familyInfo.pinLimitNs", None, "familyInfo.pinLimitNs is missing"),
        ("familyInfo", 3, "familyInfo has the wrong type: '3'"),
        ("familyInfo.roleByKind", "read", "familyInfo.roleByKind is not a list"),
        (
            "familyInfo.roleByKind.1",
            "scribe",
            "familyInfo.roleByKind[1] is not one of read, write, both: 'scribe'",
        ),
        ("familyInfo.memoryTokens", [1], "familyInfo.memoryTokens has 1 entries, familyInfo.roleByKind 2"),
        (
            "familyInfo.memoryTokens.0",
            "many",
            "familyInfo.memoryTokens[0] is not a number in the allowed range: 'many'",
        ),
        ("familyInfo.memoryTokens.0", 1.5, "familyInfo.memoryTokens[0] is not an integer"),
        ("familyInfo.tokenAimNs", [1, 2, 3], "familyInfo.tokenAimNs has 3 entries, categories 2"),
        ("familyInfo.aimUsPer1000PromptTokens", [1], "familyInfo.aimUsPer1000PromptTokens has 1 entries"),
        ("familyInfo.pinLimitNs", -1, "familyInfo.pinLimitNs is not a number in the allowed range"),
        ("familyInfo.readInPlace", "no", "familyInfo.readInPlace is neither true nor false: 'no'"),
        ("policyLimits.cancel", 1, "policyLimits.cancel is neither true nor false"),
        ("policyLimits.tryLimit", True, "policyLimits.tryLimit is not a number in the allowed range: 'True'"),
        (
            "policyLimits.maxRetryAfterNs",
            "soon",
            "policyLimits.maxRetryAfterNs is not a number in the allowed range",
        ),
        ("safety.fallNs", float("inf"), "safety.fallNs is not a number in the allowed range"),
        ("safety.coldFrom", float("nan"), "safety.coldFrom is not a number in the allowed range"),
        ("nInstances", 0, "nInstances is not a number in the allowed range"),
        ("myNumber", -1, "myNumber is not a number in the allowed range"),
        ("categories", [], "categories is empty"),
        ("categories.0", "chat", "categories[0] has the wrong type"),
        ("categories.0.objectiveNs", 0, "categories[0].objectiveNs is not a number in the allowed range"),
        (
            "categories.0.idempotency",
            "once",
            "categories[0].idempotency is not one of free, guarded, single_shot",
        ),
        ("categories.0", {**KEYED, "group": None}, "categories[0].group is missing"),
        ("categories.0", {**KEYED, "keyTtlNs": None}, "categories[0].keyTtlNs is missing"),
        ("categories.0", {**KEYED, "group": "rack"}, "categories[0].group is not one of all, zone, cell"),
    ],
)
def test_missing_and_invalid_settings_are_named(path: str, value: Any, message: str) -> None:
    with pytest.raises(SettingError) as error:
        read_router_settings(settings_with(path, value))
    assert message in str(error.value)


@pytest.mark.parametrize(
    "path, value, argument, expected",
    [
        ("myNumber", ..., "number", 0),
        ("zone", None, "zone", 0),
        ("policyLimits.cancel", ..., "may_cancel", False),
        ("policyLimits.retryAfter", None, "may_delay_retries", False),
        ("unheard", {"of": 1}, "fronts", 1),
        ("nInstances", 1024, "fronts", 1024),
        ("policyLimits.maxRetryAfterNs", ..., "longest_retry", 0.0),
        ("familyInfo.readInPlace", True, "read_in_place", True),
        ("safety.unheard", [], "warm_after", 1.0),
    ],
)
def test_defaults_are_conservative_and_unknown_settings_are_ignored(
    path: str, value: Any, argument: str, expected: Any
) -> None:
    assert read_router_settings(settings_with(path, value))[argument] == expected


def test_group_and_key_lifetime_apply_to_keyed_workloads_only() -> None:
    keyed, other = read_router_settings(settings_with("categories.0", KEYED))["workloads"]
    assert (keyed.effect, keyed.group, keyed.key_ttl) == (Effect.IDEMPOTENCY_KEYED, Group.CELL, 2.0)
    assert (other.effect, other.group, other.value) == (Effect.NON_IDEMPOTENT, Group.ALL, 1.0)


def test_kinds_have_their_roles_in_order() -> None:
    assert [kind.role for kind in read_router_settings(settings())["kinds"]] == [Role.PREFILL, Role.DECODE]


@pytest.mark.parametrize(
    "setting, value, message",
    [
        ("kinds", ["m0"], "kinds has 1 entries, familyInfo.roleByKind 2"),
        ("kinds", ..., "kinds is missing"),
        ("kinds", ["m0", "m0"], "kinds[1] is no name of its own: 'm0'"),
        ("azs", ..., "azs is missing"),
        ("azs", "a", "azs is not a list"),
        ("azs", [1], "azs[0] is no name of its own: '1'"),
        ("categories.1.name", ..., "categories[1].name is missing"),
        ("categories.1.name", "chat", "categories[1].name is no name of its own: 'chat'"),
        ("policyLimits.connIdleNs", ..., "policyLimits.connIdleNs is missing"),
        (
            "policyLimits.connectTimeoutNs",
            "1",
            "policyLimits.connectTimeoutNs is not a number in the allowed range",
        ),
    ],
)
def test_settings_that_only_the_platform_requires(
    tmp_path: Any, setting: str, value: Any, message: str
) -> None:
    path = tmp_path / "config.json"
    config = {"discovery": "h:1", "limits": {}, "settings": settings_with(setting, value)}
    path.write_bytes(orjson.dumps(config))
    with pytest.raises(StartError) as error:
        read_configuration(path)
    assert message in str(error.value)


@pytest.mark.parametrize("sockets, valid", [(None, True), (256, True), ("many", False), (-1, False)])
def test_an_invalid_socket_limit_is_refused(tmp_path: Any, sockets: Any, valid: bool) -> None:
    path = tmp_path / "config.json"
    path.write_bytes(
        orjson.dumps({"discovery": "h:1", "limits": {"sockets": sockets}, "settings": settings()})
    )
    if valid:
        assert read_configuration(path)["limits"]["sockets"] == sockets
        return
    with pytest.raises(StartError, match="limits.sockets is not a number in the allowed range"):
        read_configuration(path)
