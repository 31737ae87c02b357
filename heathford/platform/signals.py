"""Signals of a front node, acted on in its event loop while it runs."""

import asyncio
import signal
from collections.abc import Callable, Iterator, Mapping
from contextlib import contextmanager


@contextmanager
def handled_signals(
    loop: asyncio.AbstractEventLoop, acts: Mapping[signal.Signals, Callable[[], None]]
) -> Iterator[None]:
    """Have the loop make these calls, each in a turn of its own; afterwards the signals are ignored.

    The loop learns of a signal by a byte that is written to a socket of its own. Here that byte only wakes
    the loop, and Python's own handler, which runs without it, has the call made: where the byte is lost, in
    the loop's next turn. Guards against a byte that the system refuses to write: a process that hears of no
    SIGTERM is killed with all that it has taken. Costs nothing.
    """
    for number, act in acts.items():
        loop.add_signal_handler(number, woken)
        signal.signal(number, calling(loop, act))
    try:
        yield
    finally:
        ignore(loop, acts)


def calling(loop: asyncio.AbstractEventLoop, act: Callable[[], None]) -> Callable[[int, object], None]:
    def received(_number: int, _frame: object) -> None:
        loop.call_soon_threadsafe(act)

    return received


def ignore(loop: asyncio.AbstractEventLoop, numbers: Mapping[signal.Signals, object]) -> None:
    """Guards against a SIGHUP or a second SIGTERM, once all is done, that ends the process with its status:
    the loop gives signals their defaults back as it closes. One that comes in between waits until it is
    ignored."""
    before = signal.pthread_sigmask(signal.SIG_BLOCK, numbers)
    for number in numbers:
        loop.remove_signal_handler(number)
        signal.signal(number, signal.SIG_IGN)
    signal.pthread_sigmask(signal.SIG_SETMASK, before)


def woken() -> None:
    """Nothing more is to be done."""
