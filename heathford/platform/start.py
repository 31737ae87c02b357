"""What the platform tells a front node at its start, by variables and a file: checked, mistakes told."""

import time
from collections.abc import Mapping
from pathlib import Path
from typing import Any

import orjson

from heathford.bootinfo import (
    SettingError,
    get_number,
    read_router_settings,
    get_setting,
    setting_path,
    list_indices,
)

READS_AT_START = 25  # of the configuration, at most: the system may have no descriptor for a moment
READ_AGAIN = 0.02  # s between two of them
VARIABLES = ("NODE_NAME", "NODE_LISTEN", "NODE_DISCOVERY", "NODE_CONFIG")


class StartError(Exception):
    """What was told can't be used."""


def address_of(text: Any, what: str) -> tuple[str, int]:
    host, colon, port = text.rpartition(":") if isinstance(text, str) else ("", "", "")
    if not (host and colon and port.isascii() and port.isdigit() and int(port) < 65536):
        raise StartError(f"{what} is no HOST:PORT: {text!r}")
    return host, int(port)


def read_json(path: Path) -> Any:
    """Raises StartError."""
    try:
        return orjson.loads(path.read_bytes())
    except OSError as problem:
        raise StartError(f"the configuration can't be read: {problem}") from None
    except orjson.JSONDecodeError as problem:
        raise StartError(f"the configuration is no JSON: {problem}") from None


def read_json_patiently(path: Path) -> Any:
    """Blocks for up to READS_AT_START * READ_AGAIN s. Raises StartError, with the last problem.

    Guards against a refused start where a descriptor or memory is missing for a moment.
    """
    for _ in range(READS_AT_START - 1):
        try:
            return read_json(path)
        except StartError:
            time.sleep(READ_AGAIN)
    return read_json(path)


def read_configuration(path: Path) -> dict[str, Any]:
    """The configuration at a start, checked as far as it will be used. Raises StartError."""
    return checked(read_json_patiently(path))


def reread_configuration(path: Path) -> dict[str, Any]:
    """The configuration at a reload: read once, without waiting. Raises StartError."""
    return checked(read_json(path))


def checked(said: Any) -> dict[str, Any]:
    """Raises StartError unless all that will be used is there, and in its form."""
    if not isinstance(said, dict):
        raise StartError("the configuration is no JSON object")
    for key in ("limits", "settings"):
        if not isinstance(said.get(key), dict):
            raise StartError(f"the configuration has no object {key!r}")
    address_of(said.get("discovery"), "discovery")
    settings = said["settings"]
    try:
        read_router_settings(settings)
        names(settings, "kinds", list_indices(settings, "kinds", same_length_as=("familyInfo", "roleByKind")))
        names(settings, "azs", list_indices(settings, "azs"))
        names(settings, "categories", list_indices(settings, "categories"), "name")
        for key in ("connIdleNs", "connectTimeoutNs"):
            get_number(settings, "policyLimits", key, minimum=1.0)
        if said["limits"].get("sockets") is not None:
            get_number(said, "limits", "sockets")
    except SettingError as problem:
        raise StartError(f"the settings can't be used: {problem}") from None
    return said


def names(settings: Mapping[str, Any], key: str, indices: range, *below: str) -> None:
    """Raises SettingError unless each is a text of its own: the list and clients speak by them."""
    seen: dict[str, None] = {}
    for place in indices:
        name = get_setting(settings, key, place, *below)
        if not isinstance(name, str) or name in seen:
            raise SettingError(
                f"{setting_path((key, place, *below))} is no name of its own: {str(name)[:80]!r}"
            )
        seen[name] = None


def from_environment(variables: Mapping[str, str]) -> tuple[str, tuple[str, int], tuple[str, int], Path]:
    """Name, where to listen, discovery, and the configuration's path. Raises StartError."""
    missing = [name for name in VARIABLES if not variables.get(name)]
    if missing:
        raise StartError(f"not told by the platform: {', '.join(missing)}")
    return (
        variables["NODE_NAME"],
        address_of(variables["NODE_LISTEN"], "NODE_LISTEN"),
        address_of(variables["NODE_DISCOVERY"], "NODE_DISCOVERY"),
        Path(variables["NODE_CONFIG"]),
    )


def seed_of(told: Mapping[str, Any]) -> int:
    """Of this start. A seed in another form is still one: its bytes count."""
    seed = told.get("seed", 0)
    return seed if isinstance(seed, int) else int.from_bytes(str(seed).encode())
