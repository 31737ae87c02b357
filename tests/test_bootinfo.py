"""The settings an instance is started with: what is missing or can't be used is told by its name."""

from copy import deepcopy
from typing import Any

import orjson
import pytest

from heathford.bootinfo import SettingError, read_router_settings
from heathford.interface import Effect, Group, Role
from heathford.platform.start import StartError, read_configuration
from heathford.standin.platform import settings

GUARDED = {"name": "g", "objectiveNs": 10**9, "idempotency": "guarded", "group": "cell", "keyTtlNs": 2e9}


def changed(where: str, value: Any) -> dict[str, Any]:
    """Settings as the platform gives them, with one place set, or taken out by `...`."""
    found: dict[str, Any] = deepcopy(settings())
    at: Any = found
    *path, last = [int(key) if key.isdigit() else key for key in where.split(".")]
    for key in path:
        at = at[key]
    if value is ...:
        del at[last]
    else:
        at[last] = value
    return found


@pytest.mark.parametrize(
    "where, value, said",
    [
        *(
            (where, ..., f"{said or where} is missing")
            for where, said in [
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
        ("familyInfo", 3, "familyInfo can't be used: '3'"),
        ("familyInfo.roleByKind", "read", "familyInfo.roleByKind is no list"),
        (
            "familyInfo.roleByKind.1",
            "scribe",
            "familyInfo.roleByKind[1] is none of read, write, both: 'scribe'",
        ),
        ("familyInfo.memoryTokens", [1], "familyInfo.memoryTokens has 1 entries, familyInfo.roleByKind 2"),
        ("familyInfo.memoryTokens.0", "many", "familyInfo.memoryTokens[0] is no figure in range: 'many'"),
        ("familyInfo.memoryTokens.0", 1.5, "familyInfo.memoryTokens[0] is no whole number"),
        ("familyInfo.tokenAimNs", [1, 2, 3], "familyInfo.tokenAimNs has 3 entries, categories 2"),
        ("familyInfo.aimUsPer1000PromptTokens", [1], "familyInfo.aimUsPer1000PromptTokens has 1 entries"),
        ("familyInfo.pinLimitNs", -1, "familyInfo.pinLimitNs is no figure in range"),
        ("familyInfo.readInPlace", "no", "familyInfo.readInPlace is neither true nor false: 'no'"),
        ("policyLimits.cancel", 1, "policyLimits.cancel is neither true nor false"),
        ("policyLimits.tryLimit", True, "policyLimits.tryLimit is no figure in range: 'True'"),
        ("policyLimits.maxRetryAfterNs", "soon", "policyLimits.maxRetryAfterNs is no figure in range"),
        ("safety.fallNs", float("inf"), "safety.fallNs is no figure in range"),
        ("safety.coldFrom", float("nan"), "safety.coldFrom is no figure in range"),
        ("nInstances", 0, "nInstances is no figure in range"),
        ("myNumber", -1, "myNumber is no figure in range"),
        ("categories", [], "categories is empty"),
        ("categories.0", "chat", "categories[0] can't be used"),
        ("categories.0.objectiveNs", 0, "categories[0].objectiveNs is no figure in range"),
        (
            "categories.0.idempotency",
            "once",
            "categories[0].idempotency is none of free, guarded, single_shot",
        ),
        ("categories.0", {**GUARDED, "group": None}, "categories[0].group is missing"),
        ("categories.0", {**GUARDED, "keyTtlNs": None}, "categories[0].keyTtlNs is missing"),
        ("categories.0", {**GUARDED, "group": "rack"}, "categories[0].group is none of all, zone, cell"),
    ],
)
def test_what_is_missing_or_can_not_be_used_is_told_by_its_name(where: str, value: Any, said: str) -> None:
    with pytest.raises(SettingError) as problem:
        read_router_settings(changed(where, value))
    assert said in str(problem.value)


@pytest.mark.parametrize(
    "where, value, key, found",
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
def test_what_need_not_be_told_is_the_careful_choice_and_what_is_unknown_is_passed_over(
    where: str, value: Any, key: str, found: Any
) -> None:
    assert read_router_settings(changed(where, value))[key] == found


def test_group_and_time_count_for_tokened_workloads() -> None:
    tokened, other = read_router_settings(changed("categories.0", GUARDED))["workloads"]
    assert (tokened.effect, tokened.group, tokened.key_ttl) == (Effect.IDEMPOTENCY_KEYED, Group.CELL, 2.0)
    assert (other.effect, other.group, other.value) == (Effect.NON_IDEMPOTENT, Group.ALL, 1.0)


def test_kinds_take_their_roles_in_turn() -> None:
    assert [kind.role for kind in read_router_settings(settings())["kinds"]] == [Role.PREFILL, Role.DECODE]


@pytest.mark.parametrize(
    "where, value, said",
    [
        ("kinds", ["m0"], "kinds has 1 entries, familyInfo.roleByKind 2"),
        ("kinds", ..., "kinds is missing"),
        ("kinds", ["m0", "m0"], "kinds[1] is no name of its own: 'm0'"),
        ("azs", ..., "azs is missing"),
        ("azs", "a", "azs is no list"),
        ("azs", [1], "azs[0] is no name of its own: '1'"),
        ("categories.1.name", ..., "categories[1].name is missing"),
        ("categories.1.name", "chat", "categories[1].name is no name of its own: 'chat'"),
        ("policyLimits.connIdleNs", ..., "policyLimits.connIdleNs is missing"),
        ("policyLimits.connectTimeoutNs", "1", "policyLimits.connectTimeoutNs is no figure in range"),
    ],
)
def test_the_platform_needs_some_more(tmp_path: Any, where: str, value: Any, said: str) -> None:
    path = tmp_path / "config.json"
    config = {"discovery": "h:1", "limits": {}, "settings": changed(where, value)}
    path.write_bytes(orjson.dumps(config))
    with pytest.raises(StartError) as problem:
        read_configuration(path)
    assert said in str(problem.value)


@pytest.mark.parametrize("sockets, good", [(None, True), (256, True), ("many", False), (-1, False)])
def test_limits_that_are_no_figures_are_told(tmp_path: Any, sockets: Any, good: bool) -> None:
    path = tmp_path / "config.json"
    path.write_bytes(
        orjson.dumps({"discovery": "h:1", "limits": {"sockets": sockets}, "settings": settings()})
    )
    if good:
        assert read_configuration(path)["limits"]["sockets"] == sockets
        return
    with pytest.raises(StartError, match="limits.sockets is no figure in range"):
        read_configuration(path)
