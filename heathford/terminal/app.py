"""Textual application that shows several prompts side by side, with their streams and final answers."""

import asyncio
import time
from collections.abc import Callable

from textual.app import App, ComposeResult
from textual.binding import Binding
from textual.containers import Grid, VerticalScroll
from textual.widgets import Footer, Header, Input, Static

from heathford.client.answers import CompletionError
from heathford.client.base import Client
from heathford.terminal.board import Board, Panel, prompts_of

MAX_PANELS = 12  # more can't be read side by side


class PanelView(VerticalScroll):
    """The widget of one panel."""

    def __init__(self, panel: Panel) -> None:
        super().__init__()
        self.panel = panel
        self.heading = Static(classes="heading", markup=False)
        self.prompt = Static(f"> {panel.prompt}", classes="prompt", markup=False)
        self.text = Static("", classes="text", markup=False)
        self.end = Static("", classes="end", markup=False)

    def compose(self) -> ComposeResult:
        yield self.heading
        yield self.prompt
        yield self.text
        yield self.end

    def on_mount(self) -> None:
        self.show()

    def show(self) -> None:
        """Update the widget from the panel's state."""
        panel = self.panel
        self.heading.update(panel.heading)
        self.text.update(panel.text)
        self.end.update(f"{panel.final}: {panel.guidance}" if panel.ended else "")
        self.set_class(panel.ended and panel.final != "finished", "failed")
        self.set_class(panel.final == "finished", "finished")


class TryApp(App[None]):
    """The application of `heathford try`.

    make_client: called once Textual's event loop runs. models: names of the workloads. max_tokens and timeout
    (s) apply to each prompt.
    """

    CSS = """
    Grid { grid-size: 3; grid-gutter: 1; }
    PanelView { border: round $primary; height: 100%; padding: 0 1; }
    PanelView.finished { border: round $success; }
    PanelView.failed { border: round $error; }
    .heading { text-style: bold; }
    .prompt { color: $text-muted; }
    .end { text-style: italic; }
    """
    BINDINGS = [  # noqa: RUF012 - the type that Textual expects
        Binding("escape", "cancel", "Cancel all"),
        Binding("ctrl+l", "clear", "Clear"),
        Binding("ctrl+q", "quit", "Quit"),
    ]

    def __init__(
        self, make_client: Callable[[], Client], models: list[str], max_tokens: int, timeout: float
    ) -> None:
        super().__init__()
        self.make_client, self.models, self.max_tokens, self.timeout = (
            make_client,
            models,
            max_tokens,
            timeout,
        )
        self.board = Board(MAX_PANELS)
        self.views: dict[int, PanelView] = {}
        self.tasks: dict[int, asyncio.Task[None]] = {}
        self.client: Client | None = None

    def compose(self) -> ComposeResult:
        yield Header()
        yield Grid()
        hint = f"a prompt, or several: one || two; workloads: {', '.join(self.models)}"
        yield Input(placeholder=hint)
        yield Footer()

    def on_mount(self) -> None:
        self.title = "heathford"
        self.client = self.make_client()
        self.sub_title = self.board.summary
        self.query_one(Input).focus()

    async def on_unmount(self) -> None:
        for task in list(self.tasks.values()):
            task.cancel()
        await asyncio.gather(*self.tasks.values(), return_exceptions=True)
        if self.client:
            await self.client.close()

    async def on_input_submitted(self, event: Input.Submitted) -> None:
        event.input.value = ""
        for model, prompt in prompts_of(event.value, self.models):
            await self.ask(model, prompt)

    async def ask(self, model: str, prompt: str) -> None:
        """Send a prompt and show it in a new panel, which may remove the oldest ended one."""
        panel, removed = self.board.ask(model, prompt, time.monotonic())
        if removed:
            await self.views.pop(removed.number).remove()
        view = self.views[panel.number] = PanelView(panel)
        await self.query_one(Grid).mount(view)
        task = asyncio.get_running_loop().create_task(self.run_prompt(panel, view))
        self.tasks[panel.number] = task
        task.add_done_callback(lambda _: self.tasks.pop(panel.number, None))

    async def run_prompt(self, panel: Panel, view: PanelView) -> None:
        """Send a panel's prompt and show its stream until the final answer, an error or the cancellation."""
        assert self.client
        self.sub_title = self.board.summary
        try:
            stream = self.client.stream(
                panel.model, panel.prompt, max_tokens=self.max_tokens, timeout=self.timeout
            )
            async for part in stream:
                panel.add_text(part, time.monotonic())
                view.show()
            panel.finished(await stream.result(), time.monotonic())
        except CompletionError as error:
            panel.failed(error, time.monotonic())
        except asyncio.CancelledError:
            panel.cancelled(time.monotonic())
        view.show()
        self.sub_title = self.board.summary

    def action_cancel(self) -> None:
        for task in list(self.tasks.values()):
            task.cancel()

    async def action_clear(self) -> None:
        for panel in [p for p in self.board.panels if p.ended]:
            self.board.panels.remove(panel)
            await self.views.pop(panel.number).remove()
        self.sub_title = self.board.summary
