"""Signals of a front node, acted on in its event loop."""

import asyncio
import signal
from collections.abc import Callable, Mapping


def handle_signals(
    loop: asyncio.AbstractEventLoop, acts: Mapping[signal.Signals, Callable[[], None]]
) -> None:
    """Have the loop make these calls, each in a turn of its own.

    The loop learns of a signal by a byte that is written to a socket of its own. Here that byte only wakes
    the loop, and Python's own handler, which runs without it, has the call made: where the byte is lost, in
    the loop's next turn. Guards against a byte that the system refuses to write: a process that hears of no
    SIGTERM is killed with all that it has taken. Costs nothing.
    """
    for number, act in acts.items():
        loop.add_signal_handler(number, woken)

        def received(_number: int, _frame: object, act: Callable[[], None] = act) -> None:
            loop.call_soon_threadsafe(act)

        signal.signal(number, received)


def woken() -> None:
    """Nothing more is to be done."""
