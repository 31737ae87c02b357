"""What the platform tells a front node at its start, by variables and a file: checked, mistakes told."""

from collections.abc import Mapping
from pathlib import Path
from typing import Any

import orjson

from heathford.bootinfo import figures_of, kinds_of

VARIABLES = ("NODE_NAME", "NODE_LISTEN", "NODE_DISCOVERY", "NODE_CONFIG")


class StartError(Exception):
    """What was told can't be used."""


def address_of(text: Any, what: str) -> tuple[str, int]:
    host, colon, port = text.rpartition(":") if isinstance(text, str) else ("", "", "")
    if not (host and colon and port.isascii() and port.isdigit() and int(port) < 65536):
        raise StartError(f"{what} is no HOST:PORT: {text!r}")
    return host, int(port)


def told(path: Path) -> dict[str, Any]:
    """The configuration, checked as far as it will be used. Raises StartError."""
    try:
        found = orjson.loads(path.read_bytes())
    except OSError as problem:
        raise StartError(f"the configuration can't be read: {problem}") from None
    except orjson.JSONDecodeError as problem:
        raise StartError(f"the configuration is no JSON: {problem}") from None
    if not isinstance(found, dict):
        raise StartError("the configuration is no JSON object")
    for key in ("limits", "settings"):
        if not isinstance(found.get(key), dict):
            raise StartError(f"the configuration has no object {key!r}")
    address_of(found.get("discovery"), "discovery")
    settings = found["settings"]
    try:
        figures_of(settings)
        for name, place in (("kinds", settings["kinds"]), ("azs", settings["azs"]),
                            ("categories", settings["categories"])):
            if not isinstance(place, list):
                raise TypeError(f"{name} is no list")
        if len(settings["kinds"]) != len(kinds_of(settings)):
            raise ValueError("kinds and roleByKind differ in length")
        for key in ("connIdleNs", "connectTimeoutNs"):
            float(settings["policyLimits"][key])
    except (KeyError, TypeError, ValueError, AttributeError) as problem:
        raise StartError(f"the settings can't be used: {problem!r}") from None
    return found


def from_environment(variables: Mapping[str, str]) -> tuple[str, tuple[str, int], tuple[str, int], Path]:
    """Name, where to listen, discovery, and the configuration's path. Raises StartError."""
    missing = [name for name in VARIABLES if not variables.get(name)]
    if missing:
        raise StartError(f"not told by the platform: {', '.join(missing)}")
    return (variables["NODE_NAME"], address_of(variables["NODE_LISTEN"], "NODE_LISTEN"),
            address_of(variables["NODE_DISCOVERY"], "NODE_DISCOVERY"), Path(variables["NODE_CONFIG"]))


def seed_of(told: Mapping[str, Any]) -> int:
    """Of this start. A seed in another form is still one: its bytes count."""
    seed = told.get("seed", 0)
    return seed if isinstance(seed, int) else int.from_bytes(str(seed).encode())
