"""Handle a front node's signals in its event loop."""

import asyncio
import signal
from collections.abc import Callable, Iterator, Mapping
from contextlib import contextmanager


@contextmanager
def handled_signals(
    loop: asyncio.AbstractEventLoop, actions: Mapping[signal.Signals, Callable[[], None]]
) -> Iterator[None]:
    """Run each signal's action in a turn of the loop of its own; afterwards ignore the signals.

    asyncio learns of a signal by a byte that is written to its wake-up socket, and the system may refuse
    that write: a process that misses SIGTERM is later killed, with all requests that it has accepted. Here
    the byte only wakes the loop. The action is scheduled by Python's own handler, which runs without the
    byte; if the byte is lost, the action runs in the loop's next turn.
    """
    for number, action in actions.items():
        loop.add_signal_handler(number, wake_loop)
        signal.signal(number, handler_for(loop, action))
    try:
        yield
    finally:
        ignore_signals(loop, actions)


def handler_for(loop: asyncio.AbstractEventLoop, action: Callable[[], None]) -> Callable[[int, object], None]:
    """Return a handler for signal.signal that schedules the action."""

    def received(_number: int, _frame: object) -> None:
        loop.call_soon_threadsafe(action)

    return received


def ignore_signals(loop: asyncio.AbstractEventLoop, numbers: Mapping[signal.Signals, object]) -> None:
    """Ignore the signals, without a moment in which their default actions apply.

    The loop restores the defaults as it closes, and a late SIGHUP or second SIGTERM would then decide the
    exit status. Signals are blocked in between.
    """
    before = signal.pthread_sigmask(signal.SIG_BLOCK, numbers)
    for number in numbers:
        loop.remove_signal_handler(number)
        signal.signal(number, signal.SIG_IGN)
    signal.pthread_sigmask(signal.SIG_SETMASK, before)


def wake_loop() -> None:
    """Do nothing: the loop is awake by the time that it calls this."""
