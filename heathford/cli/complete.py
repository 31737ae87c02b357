"""Send one request over either protocol and stream its answer to the terminal."""

import ssl
from collections.abc import Callable
from pathlib import Path
from typing import Any

from heathford.client import BadRequest, HttpClient, WebSocketClient
from heathford.client.answers import CompletionError
from heathford.client.base import Client
from heathford.terminal.board import describe_error
from heathford.tls.files import ALPN_PROTOCOLS


def make_client(urls: list[str], member: str, authority: Path | None, retry_share: float) -> Client:
    """Return a client for the protocol of the URLs.

    Raises ValueError if the schemes of the URLs belong to no protocol or to both, and OSError if the
    authority file can't be read.
    """
    tls = None
    if authority:
        tls = ssl.create_default_context(cafile=str(authority))
        tls.set_alpn_protocols(ALPN_PROTOCOLS)
    schemes = sorted({url.partition("://")[0] for url in urls})
    if set(schemes) <= {"ws", "wss"}:
        return WebSocketClient(urls, member, retry_share, tls=tls)
    if set(schemes) <= {"http", "https"}:
        return HttpClient(urls, member, retry_share, tls=tls)
    raise ValueError(
        f"unsupported URL schemes: {', '.join(schemes)}; allowed are ws and wss, or http and https"
    )


async def run_completion(
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
    """Send a request, show its answer and return the exit status.

    0: finished; 1: rate-limited, aborted, or no front node could be reached; 2: the request is invalid.
    """
    try:
        client = make_client(urls, member, authority, retry_share)
    except (ValueError, OSError) as error:
        show(str(error), err=True)
        return 2
    timeout_option: dict[str, Any] = {} if timeout is None else {"timeout": timeout}
    async with client:
        stream = client.stream(model, prompt, max_tokens=max_tokens, repeatable=repeatable, **timeout_option)
        try:
            async for part in stream:
                show(part, nl=False)
            answer = await stream.result()
        except CompletionError as error:
            final, guidance = describe_error(error)
            show(f"{chr(10) if error.text else ''}{final}: {guidance} ({error.tries} tries)", err=True)
            return 2 if isinstance(error, BadRequest) else 1
        show(
            f"\nfinished: {answer.usage.get('prompt_tokens')} prompt tokens, "
            f"{answer.usage.get('completion_tokens')} answered, {answer.tries} tries"
        )
        return 0
