"""Front nodes with different settings in one process share nothing."""

import asyncio
import importlib
import inspect
from collections import deque
from enum import Enum
from pathlib import Path
from types import ModuleType
from typing import Any

from raw_peers import decode, front_node, prefill, request, until

from heathford.standin.platform import PREFILL_RESPONSE, RESPONSES

PACKAGES = ("policy", "core", "platform", "discovery", "fleet", "wire", "engines")
FOLDER = Path(__file__).parent.parent / "heathford"


def use_other_settings(settings: dict[str, Any]) -> None:
    """Change the names and effects of the workloads, and allow fewer attempts."""
    settings["categories"] = [
        {**settings["categories"][0], "name": "order", "idempotency": "single_shot"},
        {**settings["categories"][1], "name": "suggest", "idempotency": "free"},
    ]
    settings["policyLimits"].update(tryLimit=2, retryAfter=False)


def test_each_front_node_answers_by_its_own_settings(tmp_path: Path) -> None:
    """A workload that both have may be retried at one only, and neither knows the names of the other."""

    async def scenario() -> None:
        a, b, c, d = prefill("r"), decode("w"), prefill("r"), decode("w")
        async with (
            front_node(tmp_path, a, b, name="n0") as first,
            front_node(tmp_path, c, d, name="n1", change_settings=use_other_settings) as second,
        ):
            for setup, unknown_name in ((first, "order"), (second, "chat")):
                client = setup.client()
                client.send(request("f0", request_class=unknown_name))
                assert await client.wait_for_answers(1) == [400]
            for setup, own_name in ((first, "chat"), (second, "order")):
                prefill_engine, decode_engine = setup.engines[:2]
                client = setup.client()
                client.send(request("c0", request_class=own_name))
                (await prefill_engine.wait_for_request()).sock.sendall(PREFILL_RESPONSE)
                (await decode_engine.wait_for_request()).sock.sendall(RESPONSES["error"])
                if setup is first:  # its workload is idempotent
                    await until(lambda: a.posts + b.posts == 3, "a further attempt")
                else:
                    assert await client.wait_for_answers(1) == [502] and c.posts + d.posts == 2
            assert first.node.core.router.try_limit == 4 and second.node.core.router.try_limit == 2
            assert second.node.core.router.retry_after == 0.0 < first.node.core.router.retry_after
            # What one learns about an engine is unknown to the other, though both know one of that name.
            assert first.node.core.router.engines is not second.node.core.router.engines
            assert (
                first.node.core.router.prefill_fit.answers == second.node.core.router.prefill_fit.answers == 1
            )

    asyncio.run(scenario())


def is_mutable(value: object) -> bool:
    return isinstance(value, list | dict | set | deque | bytearray)


def modules() -> list[ModuleType]:
    names = [
        f"heathford.{package}.{path.stem}"
        for package in PACKAGES
        for path in sorted((FOLDER / package).glob("*.py"))
        if path.stem != "__init__"
    ]
    return [importlib.import_module(name) for name in names]


def mutable_attributes() -> dict[str, str]:
    """Return the text of each mutable object at the level of modules and their classes, by its path."""
    attributes = {}
    for module in modules():
        scopes: list[ModuleType | type] = [
            module,
            *(
                value
                for value in vars(module).values()
                if isinstance(value, type) and value.__module__ == module.__name__
            ),
        ]
        for scope in scopes:
            for name, value in vars(scope).items():
                is_enum = isinstance(scope, type) and issubclass(scope, Enum)
                if is_mutable(value) and not name.startswith("__") and not is_enum:
                    attributes[f"{module.__name__}.{scope.__name__}.{name}"] = repr(value)
    return attributes


def test_shared_tables_are_constants(tmp_path: Path) -> None:
    """They have names in capitals, and don't change while two front nodes serve requests."""
    before = mutable_attributes()
    assert all(path.rpartition(".")[2].isupper() for path in before), before.keys()
    test_each_front_node_answers_by_its_own_settings(tmp_path)
    assert mutable_attributes() == before


def test_no_function_has_a_mutable_default() -> None:
    for module in modules():
        for scope in [module, *(v for v in vars(module).values() if isinstance(v, type))]:
            for name, value in vars(scope).items():
                if inspect.isfunction(value):
                    defaults = [*(value.__defaults__ or ()), *(value.__kwdefaults__ or {}).values()]
                    assert not any(map(is_mutable, defaults)), f"{module.__name__}.{name}"
