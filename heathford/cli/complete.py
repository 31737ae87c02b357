"""Asks for one completion by either protocol and shows it as it comes."""

import ssl
from collections.abc import Callable
from pathlib import Path
from typing import Any

from heathford.client import BadRequest, HttpClient, WebSocketClient
from heathford.client.answers import CompletionError
from heathford.client.base import Client
from heathford.terminal.board import describe_error
from heathford.tls.files import ALPN_PROTOCOLS


def client_of(urls: list[str], member: str, authority: Path | None, retry_share: float) -> Client:
    """By the scheme of the addresses; raises ValueError where they name none or several protocols."""
    tls = None
    if authority:
        tls = ssl.create_default_context(cafile=str(authority))
        tls.set_alpn_protocols(ALPN_PROTOCOLS)
    schemes = sorted({url.partition("://")[0] for url in urls})
    if set(schemes) <= {"ws", "wss"}:
        return WebSocketClient(urls, member, retry_share, tls=tls)
    if set(schemes) <= {"http", "https"}:
        return HttpClient(urls, member, retry_share, tls=tls)
    raise ValueError(f"addresses of {', '.join(schemes)}; allowed are ws and wss, or http and https")


async def one(
    urls: list[str],
    model: str,
    prompt: str,
    max_tokens: int,
    timeout: float | None,
    show: Callable[..., None],
    member: str = "",
    authority: Path | None = None,
    repeatable: bool = True,
    retry_share: float = 0.2,
) -> int:
    """The exit code: 0 finished, 1 rate-limited, aborted or no front, 2 not to be asked."""
    try:
        client = client_of(urls, member, authority, retry_share)
    except (ValueError, OSError) as problem:
        show(str(problem), err=True)
        return 2
    more: dict[str, Any] = {} if timeout is None else {"timeout": timeout}
    async with client:
        stream = client.stream(model, prompt, max_tokens=max_tokens, repeatable=repeatable, **more)
        try:
            async for part in stream:
                show(part, nl=False)
            found = await stream.result()
        except CompletionError as problem:
            final, guidance = describe_error(problem)
            show(f"{chr(10) if problem.text else ''}{final}: {guidance} ({problem.tries} tries)", err=True)
            return 2 if isinstance(problem, BadRequest) else 1
        show(
            f"\nfinished: {found.usage.get('prompt_tokens')} prompt tokens, "
            f"{found.usage.get('completion_tokens')} answered, {found.tries} tries"
        )
        return 0
