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

from heathford.standin.platform import READ, WORDS

PACKAGES = ("policy", "core", "platform", "discovery", "fleet", "wire", "engines")
FOLDER = Path(__file__).parent.parent / "heathford"


def other_customer(settings: dict[str, Any]) -> None:
    """Other names, effects swapped, fewer tries."""
    settings["categories"] = [
        {**settings["categories"][0], "name": "order", "idempotency": "single_shot"},
        {**settings["categories"][1], "name": "suggest", "idempotency": "free"},
    ]
    settings["policyLimits"].update(tryLimit=2, retryAfter=False)


def test_each_front_node_answers_by_its_own_settings(tmp_path: Path) -> None:
    """One class on both, repeatable on one alone; the other's names mean nothing here."""

    async def day() -> None:
        a, b, c, d = prefill("r"), decode("w"), prefill("r"), decode("w")
        async with (
            front_node(tmp_path, a, b, name="n0") as one,
            front_node(tmp_path, c, d, name="n1", setting=other_customer) as two,
        ):
            for play, foreign in ((one, "order"), (two, "chat")):
                client = play.client()
                client.send(request("f0", request_class=foreign))
                assert await client.wait_for_answers(1) == [400]
            for play, mine in ((one, "chat"), (two, "order")):
                reader, writer = play.engines[:2]
                client = play.client()
                client.send(request("c0", request_class=mine))
                (await reader.wait_for_request()).sock.sendall(READ)
                (await writer.wait_for_request()).sock.sendall(WORDS["error"])
                if play is one:  # may run again
                    await until(lambda: a.posts + b.posts == 3, "a further attempt")
                else:
                    assert await client.wait_for_answers(1) == [502] and c.posts + d.posts == 2
            assert one.node.core.router.try_limit == 4 and two.node.core.router.try_limit == 2
            assert two.node.core.router.retry_after == 0.0 < one.node.core.router.retry_after
            # What one learns of an engine of the same name and number is not known to the other.
            assert one.node.core.router.engines is not two.node.core.router.engines
            assert one.node.core.router.prefill_fit.answers == two.node.core.router.prefill_fit.answers == 1

    asyncio.run(day())


def changeable(value: object) -> bool:
    return isinstance(value, list | dict | set | deque | bytearray)


def modules() -> list[ModuleType]:
    names = [
        f"heathford.{package}.{path.stem}"
        for package in PACKAGES
        for path in sorted((FOLDER / package).glob("*.py"))
        if path.stem != "__init__"
    ]
    return [importlib.import_module(name) for name in names]


def tables() -> dict[str, str]:
    """What stands at the level of modules and their classes and could be changed, as it reads now."""
    found = {}
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
                of_enum = isinstance(scope, type) and issubclass(scope, Enum)
                if changeable(value) and not name.startswith("__") and not of_enum:
                    found[f"{module.__name__}.{scope.__name__}.{name}"] = repr(value)
    return found


def test_tables_that_all_instances_see_are_constants(tmp_path: Path) -> None:
    """Written in capitals, and the same after two front nodes have worked."""
    before = tables()
    assert all(path.rpartition(".")[2].isupper() for path in before), before.keys()
    test_each_front_node_answers_by_its_own_settings(tmp_path)
    assert tables() == before


def test_no_function_has_a_default_that_calls_could_share() -> None:
    for module in modules():
        for scope in [module, *(v for v in vars(module).values() if isinstance(v, type))]:
            for name, value in vars(scope).items():
                if inspect.isfunction(value):
                    defaults = [*(value.__defaults__ or ()), *(value.__kwdefaults__ or {}).values()]
                    assert not any(map(changeable, defaults)), f"{module.__name__}.{name}"
