"""State of the panels that `heathford try` shows, without I/O."""

from collections.abc import Sequence
from dataclasses import dataclass, field

from heathford.client.answers import Aborted, BadRequest, CompletionError, Finished, NoFront, RateLimited


@dataclass
class Panel:
    """One prompt and its answer so far. Times are in s by the caller's clock."""

    number: int
    model: str
    prompt: str
    started_at: float
    text: str = ""  # received so far
    parts: int = 0  # pieces of text received
    first_token_after: float | None = None  # s until the first text
    duration: float | None = None  # s until the final answer
    final: str = ""  # kind of the final answer; empty until then
    guidance: str = ""  # details of it and advice for the user
    tries: int = 1

    @property
    def ended(self) -> bool:
        return bool(self.final)

    def add_text(self, text: str, now: float) -> None:
        if self.first_token_after is None:
            self.first_token_after = now - self.started_at
        self.text += text
        self.parts += 1

    def finished(self, answer: Finished, now: float) -> None:
        self.duration, self.tries, self.final = now - self.started_at, answer.tries, "finished"
        self.guidance = f"{answer.usage.get('completion_tokens', self.parts)} tokens, {answer.reason}"

    def failed(self, error: CompletionError, now: float) -> None:
        self.duration, self.tries = now - self.started_at, error.tries
        self.final, self.guidance = describe_error(error)

    def cancelled(self, now: float) -> None:
        self.duration, self.final, self.guidance = (
            now - self.started_at,
            "cancelled",
            "ended here; ask again at will",
        )

    @property
    def heading(self) -> str:
        """One line with number, workload, status and times."""
        parts = [f"#{self.number} {self.model}", self.final or ("streams" if self.text else "waits")]
        if self.first_token_after is not None:
            parts.append(f"first token {1000 * self.first_token_after:.0f} ms")
        if self.duration is not None:
            parts.append(f"{self.duration:.2f} s")
        if self.tries > 1:
            parts.append(f"{self.tries} tries")
        return " · ".join(parts)


def describe_error(error: CompletionError) -> tuple[str, str]:
    """Return a short status for a failed request and advice for the user."""
    if isinstance(error, RateLimited):
        return "rate-limited", f"nothing has run; come back in {error.retry_after:g} s"
    if isinstance(error, BadRequest):
        return "refused", f"{error}; asking again changes nothing"
    if isinstance(error, NoFront):
        return "no front", f"nothing was sent: {error}"
    if isinstance(error, Aborted):
        return "aborted", f"it may have run: {error}"
    return "failed", str(error)


@dataclass
class Board:
    """The panels shown, newest last.

    Beyond `max_panels` a new panel replaces the oldest ended one, so that a terminal left open does not grow
    without bound. Panels that have not ended stay.
    """

    max_panels: int
    panels: list[Panel] = field(default_factory=list)
    panels_made: int = 0

    def ask(self, model: str, prompt: str, now: float) -> tuple[Panel, Panel | None]:
        """Add a panel for a prompt and return it, with the panel removed for it, if any."""
        self.panels_made += 1
        panel = Panel(self.panels_made, model, prompt, now)
        self.panels.append(panel)
        removed = (
            next((p for p in self.panels if p.ended), None) if len(self.panels) > self.max_panels else None
        )
        if removed:
            self.panels.remove(removed)
        return panel, removed

    @property
    def summary(self) -> str:
        """The number of panels by status."""
        counts: dict[str, int] = {}
        for panel in self.panels:
            name = panel.final or "out"
            counts[name] = counts.get(name, 0) + 1
        return ", ".join(f"{n} {name}" for name, n in counts.items()) or "nothing asked yet"


def prompts_of(line: str, models: Sequence[str]) -> list[tuple[str, str]]:
    """Parse an input line into pairs of workload and prompt.

    `a || b` are two prompts, and `model: a` names the workload; without a name it is the first one.
    """
    prompts = []
    for part in line.split("||"):
        text = part.strip()
        name, colon, rest = text.partition(":")
        model = models[0]
        if colon and name.strip() in models:
            model, text = name.strip(), rest.strip()
        if text:
            prompts.append((model, text))
    return prompts
