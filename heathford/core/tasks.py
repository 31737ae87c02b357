"""Tasks that nobody waits for: kept from being collected, their failures told."""

import asyncio
from typing import Any

import structlog

log = structlog.get_logger()


class Tasks:
    """whose: said with a failure."""

    def __init__(self, whose: str) -> None:
        self.whose = whose
        self.running: dict[asyncio.Task[None], None] = {}

    def spawn(self, work: Any) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self.running[task] = None
        task.add_done_callback(self.done)

    def done(self, task: "asyncio.Task[None]") -> None:
        self.running.pop(task, None)
        if not task.cancelled() and task.exception():
            log.error("task failed", whose=self.whose, exc_info=task.exception())
