"""Reads the settings that an instance is started with, on the simulator's wire and on the platform alike.

They come as one nested object; what is not named here is skipped. Nothing here decides anything.
"""

from collections.abc import Mapping
from typing import Any

from heathford.interface import Effect, Group, Kind, Role, Workload

NS = 1_000_000_000

EFFECTS = {"free": Effect.IDEMPOTENT, "guarded": Effect.TOKENED, "single_shot": Effect.NON_IDEMPOTENT}
GROUPS = {"all": Group.ALL, "zone": Group.ZONE, "cell": Group.CELL}
ROLES = {"read": Role.READER, "write": Role.WRITER, "both": Role.MIXED}


def kinds_of(info: Mapping[str, Any]) -> list[Kind]:
    family = info["familyInfo"]
    return [Kind(ROLES[role], memory) for role, memory in
            zip(family["roleByKind"], family["memoryTokens"], strict=True)]


def workloads_of(info: Mapping[str, Any]) -> list[Workload]:
    family, categories = info["familyInfo"], info["categories"]
    stretch = family.get("aimUsPer1000PromptTokens") or [0.0] * len(categories)
    return [
        Workload(
            latency_target=c["objectiveNs"] / NS, target_per_1000=more / 1e6, token_target=token / NS,
            effect=EFFECTS[c["idempotency"]], group=GROUPS[c.get("group") or "all"],
            memory_time=c.get("keyTtlNs", 0) / NS, value=c.get("worth", 1.0))
        for c, more, token in zip(categories, stretch, family["tokenAimNs"], strict=True)]


def figures_of(info: Mapping[str, Any]) -> dict[str, Any]:
    """What a Router takes beside its clock, door and seed, by the names of its arguments."""
    limits, safety = info["policyLimits"], info["safety"]
    return dict(
        kinds=kinds_of(info), workloads=workloads_of(info),
        number=info.get("myNumber", 0), fronts=info.get("nInstances", 1), zone=info.get("zone", 0),
        try_limit=limits["tryLimit"], pin_limit=info["familyInfo"]["pinLimitNs"] / NS,
        may_cancel=limits.get("cancel", False), may_delay_retries=limits.get("retryAfter", False),
        longest_retry=limits.get("maxRetryAfterNs", 0) / NS, warm_after=safety["warmAfterNs"] / NS,
        cold_from=safety["coldFrom"], cold_multiple=safety["tipMultiple"],
        cold_window=safety["fallNs"] / NS, read_in_place=info["familyInfo"].get("readInPlace", False))
