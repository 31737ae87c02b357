"""heathford batch: submit, watch, fetch and cancel, with progress on the terminal."""

import asyncio
import ssl
import sys
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import TYPE_CHECKING, Any

import click

if TYPE_CHECKING:
    from heathford.client.batches import Batches

URL = click.option("--url", required=True, help="The front that has it: http(s)://HOST:PORT")
MEMBER = click.option("--member", default="", help="For whom.")
AUTHORITY = click.option(
    "--authority",
    type=click.Path(exists=True, dir_okay=False, path_type=Path),
    help="Certificates of the authorities to trust, in PEM.",
)


def batches_of(url: str, member: str, authority: Path | None) -> "Batches":
    from heathford.client.batches import Batches
    from heathford.tls.files import ALPN_PROTOCOLS

    tls = None
    if authority:
        tls = ssl.create_default_context(cafile=str(authority))
        tls.set_alpn_protocols(ALPN_PROTOCOLS)
    return Batches(url, member, tls)


def run(work: Coroutine[Any, Any, int]) -> None:
    """Exits 0 where all went well, 1 where the batch or the front did not, 2 where it is not to be asked."""
    from heathford.client.answers import BadRequest, CompletionError

    try:
        code = asyncio.run(work)
    except BadRequest as problem:
        raise click.UsageError(str(problem)) from None
    except (CompletionError, OSError) as problem:
        raise click.ClickException(f"{type(problem).__name__.lower()}: {problem}") from None
    sys.exit(code)


def shown(found: dict[str, Any]) -> str:
    counts = found["request_counts"]
    wrong = f", {counts['failed']} failed" if counts["failed"] else ""
    return f"{found['id']} {found['status']}: {counts['completed']} of {counts['total']} answered{wrong}"


async def watched(batches: "Batches", batch: str) -> dict[str, Any]:
    """Until it is over, on a terminal with a bar where rich is there."""
    found: dict[str, Any] = {}
    bar = progress()
    if bar is None:
        async for found in batches.watch(batch):
            click.echo(shown(found))
        return found
    with bar as on_screen:
        task = on_screen.add_task(batch, total=None)
        async for found in batches.watch(batch):
            counts = found["request_counts"]
            on_screen.update(
                task,
                description=found["status"],
                total=counts["total"] or None,
                completed=counts["completed"] + counts["failed"],
            )
    click.echo(shown(found))
    return found


def progress() -> Any:
    if not sys.stdout.isatty():
        return None
    try:
        from rich.progress import BarColumn, MofNCompleteColumn, Progress, TextColumn, TimeRemainingColumn
    except ImportError:
        return None
    return Progress(
        TextColumn("{task.description}"), BarColumn(), MofNCompleteColumn(), TimeRemainingColumn()
    )


def told(found: dict[str, Any]) -> int:
    for mistake in (found.get("errors") or {}).get("data", []):
        where = f"line {mistake['line']}: " if mistake["line"] else ""
        click.echo(f"{where}{mistake['message']} ({mistake['code']})", err=True)
    return 0 if found["status"] == "completed" and not found["request_counts"]["failed"] else 1


def add_to(cli: click.Group) -> None:
    """The commands, under `batch`."""

    @cli.group()
    def batch() -> None:
        """Files of completions that nobody waits for at a screen."""

    def command(name: str) -> Callable[[Callable[..., None]], Any]:
        def add(function: Callable[..., None]) -> Any:
            return batch.command(name)(URL(MEMBER(AUTHORITY(function))))

        return add

    @command("submit")
    @click.argument("file", type=click.Path(exists=True, dir_okay=False, path_type=Path))
    @click.option("--window", default="24h", show_default=True, help="Within which it is to be done.")
    @click.option("--watch", is_flag=True, help="Stays until it is over.")
    def submit(url: str, member: str, authority: Path | None, file: Path, window: str, watch: bool) -> None:
        """Uploads FILE (JSON Lines) and begins a batch; says its name."""

        async def work() -> int:
            async with batches_of(url, member, authority) as batches:
                uploaded = await batches.upload(file)
                found = await batches.submit(uploaded["id"], window)
                click.echo(found["id"])
                return told(await watched(batches, found["id"])) if watch else 0

        run(work())

    @command("watch")
    @click.argument("name")
    def watch_(url: str, member: str, authority: Path | None, name: str) -> None:
        """Shows a batch until it is over; exits 0 if all its lines were answered."""

        async def work() -> int:
            async with batches_of(url, member, authority) as batches:
                return told(await watched(batches, name))

        run(work())

    @command("fetch")
    @click.argument("name")
    @click.option(
        "--to",
        type=click.Path(file_okay=False, path_type=Path),
        default=Path("."),
        help="The folder that gets NAME_output.jsonl and NAME_error.jsonl.",
    )
    def fetch(url: str, member: str, authority: Path | None, name: str, to: Path) -> None:
        """Writes the answers and errors of a batch that is over, each whole or not at all."""
        from heathford.client.batches import FINAL_STATUSES

        async def work() -> int:
            async with batches_of(url, member, authority) as batches:
                found = await batches.get(name)
                if found["status"] not in FINAL_STATUSES:
                    click.echo(f"{shown(found)}: not over yet", err=True)
                    return 1
                to.mkdir(parents=True, exist_ok=True)
                for kind in ("output", "error"):
                    file = found[f"{kind}_file_id"]
                    if file:
                        path = to / f"{name}_{kind}.jsonl"
                        click.echo(f"{path}: {await batches.fetch(file, path)} bytes")
                return told(found)

        run(work())

    @command("cancel")
    @click.argument("name")
    def cancel(url: str, member: str, authority: Path | None, name: str) -> None:
        """Ends a batch; what was answered stays and can be fetched."""

        async def work() -> int:
            async with batches_of(url, member, authority) as batches:
                click.echo(shown(await batches.cancel(name)))
            return 0

        run(work())

    @command("list")
    def list_(url: str, member: str, authority: Path | None) -> None:
        """A member's batches, newest first."""

        async def work() -> int:
            async with batches_of(url, member, authority) as batches:
                async for found in batches.entries("batches"):
                    click.echo(shown(found))
            return 0

        run(work())
