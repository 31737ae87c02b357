"""What `heathford try` shows of each prompt; no I/O, no terminal."""

from collections.abc import Sequence
from dataclasses import dataclass, field

from heathford.client.answers import Aborted, BadRequest, CompletionError, Finished, NoFront, RateLimited


@dataclass
class Panel:
    """One prompt and what came of it. Times are of the caller's clock, in s."""

    number: int
    model: str
    prompt: str
    begun: float
    text: str = ""
    parts: int = 0
    first: float | None = None  # s until the first text
    took: float | None = None  # s until the final answer
    final: str = ""
    guidance: str = ""
    tries: int = 1

    @property
    def ended(self) -> bool:
        return bool(self.final)

    def says(self, text: str, now: float) -> None:
        if self.first is None:
            self.first = now - self.begun
        self.text += text
        self.parts += 1

    def finished(self, answer: Finished, now: float) -> None:
        self.took, self.tries, self.final = now - self.begun, answer.tries, "finished"
        self.guidance = f"{answer.usage.get('completion_tokens', self.parts)} tokens, {answer.reason}"

    def failed(self, problem: CompletionError, now: float) -> None:
        self.took, self.tries = now - self.begun, problem.tries
        self.final, self.guidance = describe_error(problem)

    def cancelled(self, now: float) -> None:
        self.took, self.final, self.guidance = now - self.begun, "cancelled", "ended here; ask again at will"

    @property
    def heading(self) -> str:
        """One line: who, how far, how fast."""
        parts = [f"#{self.number} {self.model}", self.final or ("streams" if self.text else "waits")]
        if self.first is not None:
            parts.append(f"first token {1000 * self.first:.0f} ms")
        if self.took is not None:
            parts.append(f"{self.took:.2f} s")
        if self.tries > 1:
            parts.append(f"{self.tries} tries")
        return " · ".join(parts)


def describe_error(problem: CompletionError) -> tuple[str, str]:
    """A final answer that is none, and what to do about it."""
    if isinstance(problem, RateLimited):
        return "rate-limited", f"nothing has run; come back in {problem.retry_after:g} s"
    if isinstance(problem, BadRequest):
        return "refused", f"{problem}; asking again changes nothing"
    if isinstance(problem, NoFront):
        return "no front", f"nothing was sent: {problem}"
    if isinstance(problem, Aborted):
        return "aborted", f"it may have run: {problem}"
    return "failed", str(problem)


@dataclass
class Board:
    """The panels shown, newest last. most: beyond it the oldest that is over makes way, so that an open
    terminal does not grow for ever; one that is not over stays."""

    most: int
    panels: list[Panel] = field(default_factory=list)
    count: int = 0

    def ask(self, model: str, prompt: str, now: float) -> tuple[Panel, Panel | None]:
        """The new panel, and the one that made way."""
        self.count += 1
        panel = Panel(self.count, model, prompt, now)
        self.panels.append(panel)
        gone = next((p for p in self.panels if p.ended), None) if len(self.panels) > self.most else None
        if gone:
            self.panels.remove(gone)
        return panel, gone

    @property
    def summary(self) -> str:
        counts: dict[str, int] = {}
        for panel in self.panels:
            name = panel.final or "out"
            counts[name] = counts.get(name, 0) + 1
        return ", ".join(f"{n} {name}" for name, n in counts.items()) or "nothing asked yet"


def prompts_of(line: str, models: Sequence[str]) -> list[tuple[str, str]]:
    """What a line of input asks for: `a || b` are two prompts at once, `model: a` names the workload."""
    found = []
    for part in line.split("||"):
        text = part.strip()
        name, colon, rest = text.partition(":")
        model = models[0]
        if colon and name.strip() in models:
            model, text = name.strip(), rest.strip()
        if text:
            found.append((model, text))
    return found
