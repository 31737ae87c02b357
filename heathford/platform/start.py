"""Read and validate a front node's environment variables and configuration file."""

import time
from collections.abc import Mapping
from pathlib import Path
from typing import Any

import orjson

from heathford.bootinfo import (
    SettingError,
    get_number,
    get_setting,
    list_indices,
    read_router_settings,
    setting_path,
)

MAX_READS = 25  # attempts to read the configuration: the system may be out of descriptors for a moment
READ_RETRY_INTERVAL = 0.02  # s
VARIABLES = ("NODE_NAME", "NODE_LISTEN", "NODE_DISCOVERY", "NODE_CONFIG")


class StartError(Exception):
    """The environment variables or the configuration can't be used, or the node can't listen."""


def parse_address(text: Any, source: str) -> tuple[str, int]:
    """Parse HOST:PORT. Raises StartError, which names the source."""
    host, colon, port = text.rpartition(":") if isinstance(text, str) else ("", "", "")
    if not (host and colon and port.isascii() and port.isdigit() and int(port) < 65536):
        raise StartError(f"{source} is not HOST:PORT: {text!r}")
    return host, int(port)


def read_json(path: Path) -> Any:
    """Return the file's content. Raises StartError."""
    try:
        return orjson.loads(path.read_bytes())
    except OSError as exc:
        raise StartError(f"the configuration can't be read: {exc}") from None
    except orjson.JSONDecodeError as exc:
        raise StartError(f"the configuration is not valid JSON: {exc}") from None


def read_json_with_retries(path: Path) -> Any:
    """Return the file's content; retry while it can't be read, as descriptors or memory may be short.

    Blocks for up to MAX_READS * READ_RETRY_INTERVAL. Raises StartError with the last error.
    """
    for _ in range(MAX_READS - 1):
        try:
            return read_json(path)
        except StartError:
            time.sleep(READ_RETRY_INTERVAL)
    return read_json(path)


def read_configuration(path: Path) -> dict[str, Any]:
    """Return the validated configuration for a start; may block for a moment. Raises StartError."""
    return check_configuration(read_json_with_retries(path))


def reread_configuration(path: Path) -> dict[str, Any]:
    """Return the validated configuration for a reload, read once without waiting. Raises StartError."""
    return check_configuration(read_json(path))


def check_configuration(configuration: Any) -> dict[str, Any]:
    """Return the configuration. Raises StartError unless everything that will be used is valid."""
    if not isinstance(configuration, dict):
        raise StartError("the configuration is not a JSON object")
    for key in ("limits", "settings"):
        if not isinstance(configuration.get(key), dict):
            raise StartError(f"the configuration has no object {key!r}")
    parse_address(configuration.get("discovery"), "discovery")
    settings = configuration["settings"]
    try:
        read_router_settings(settings)
        check_unique_names(
            settings, "kinds", list_indices(settings, "kinds", same_length_as=("familyInfo", "roleByKind"))
        )
        check_unique_names(settings, "azs", list_indices(settings, "azs"))
        check_unique_names(settings, "categories", list_indices(settings, "categories"), "name")
        for key in ("connIdleNs", "connectTimeoutNs"):
            get_number(settings, "policyLimits", key, minimum=1.0)
        for key in ("sockets", "memory_mb"):
            if configuration["limits"].get(key) is not None:
                get_number(configuration, "limits", key)
    except SettingError as exc:
        raise StartError(f"the settings can't be used: {exc}") from None
    return configuration


def check_unique_names(settings: Mapping[str, Any], key: str, indices: range, *subpath: str) -> None:
    """Raise SettingError unless all are distinct strings: endpoint list and clients refer to them."""
    seen: dict[str, None] = {}
    for index in indices:
        name = get_setting(settings, key, index, *subpath)
        if not isinstance(name, str) or name in seen:
            raise SettingError(
                f"{setting_path((key, index, *subpath))} is no name of its own: {str(name)[:80]!r}"
            )
        seen[name] = None


def from_environment(variables: Mapping[str, str]) -> tuple[str, tuple[str, int], tuple[str, int], Path]:
    """Return node name, listening address, discovery address and configuration path.

    Raises StartError.
    """
    missing = [name for name in VARIABLES if not variables.get(name)]
    if missing:
        raise StartError(f"missing environment variables: {', '.join(missing)}")
    return (
        variables["NODE_NAME"],
        parse_address(variables["NODE_LISTEN"], "NODE_LISTEN"),
        parse_address(variables["NODE_DISCOVERY"], "NODE_DISCOVERY"),
        Path(variables["NODE_CONFIG"]),
    )


def parse_seed(configuration: Mapping[str, Any]) -> int:
    """Return the random seed of this start; one that is not an integer counts as its bytes."""
    seed = configuration.get("seed", 0)
    return seed if isinstance(seed, int) else int.from_bytes(str(seed).encode())
