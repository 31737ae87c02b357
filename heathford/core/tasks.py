"""Background tasks: kept from being garbage collected; their failures are logged."""

import asyncio
from typing import Any

import structlog

log = structlog.get_logger()


class Tasks:
    """Background tasks of one owner; `owner` is logged with a failure."""

    def __init__(self, owner: str) -> None:
        self.owner = owner
        self.running: dict[asyncio.Task[None], None] = {}

    def spawn(self, work: Any) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self.running[task] = None
        task.add_done_callback(self.on_done)

    def on_done(self, task: "asyncio.Task[None]") -> None:
        self.running.pop(task, None)
        if not task.cancelled() and task.exception():
            log.error("task failed", whose=self.owner, exc_info=task.exception())
