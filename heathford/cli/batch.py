"""The `heathford batch` commands: submit, watch, fetch, cancel and list batches."""

import asyncio
import ssl
import sys
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import TYPE_CHECKING, Any

import click

if TYPE_CHECKING:
    from heathford.client.batches import Batches

URL = click.option(
    "--url", required=True, help="URL of the front node that has the batch: http(s)://HOST:PORT."
)
MEMBER = click.option("--member", default="", help="Tenant that owns the batch.")
AUTHORITY = click.option(
    "--authority",
    type=click.Path(exists=True, dir_okay=False, path_type=Path),
    help="PEM file with the certificates of the trusted authorities.",
)


def make_batches_client(url: str, member: str, authority: Path | None) -> "Batches":
    from heathford.client.batches import Batches
    from heathford.tls.files import ALPN_PROTOCOLS

    tls = None
    if authority:
        tls = ssl.create_default_context(cafile=str(authority))
        tls.set_alpn_protocols(ALPN_PROTOCOLS)
    return Batches(url, member, tls)


def run_command(command: Coroutine[Any, Any, int]) -> None:
    """Run a command and exit with the status that it returns.

    The exit status is 1 if the request failed or the front node could not be reached, 2 if the request is
    invalid.
    """
    from heathford.client.answers import BadRequest, CompletionError

    try:
        code = asyncio.run(command)
    except BadRequest as error:
        raise click.UsageError(str(error)) from None
    except (CompletionError, OSError) as error:
        raise click.ClickException(f"{type(error).__name__.lower()}: {error}") from None
    sys.exit(code)


def describe_batch(result: dict[str, Any]) -> str:
    counts = result["request_counts"]
    failures = f", {counts['failed']} failed" if counts["failed"] else ""
    return f"{result['id']} {result['status']}: {counts['completed']} of {counts['total']} answered{failures}"


async def watch_batch(batches: "Batches", batch: str) -> dict[str, Any]:
    """Show a batch until it has a final status and return it.

    Its progress is shown as a bar if standard output is a terminal and rich is installed.
    """
    result: dict[str, Any] = {}
    progress_bar = make_progress_bar()
    if progress_bar is None:
        async for result in batches.watch(batch):
            click.echo(describe_batch(result))
        return result
    with progress_bar as progress:
        task = progress.add_task(batch, total=None)
        async for result in batches.watch(batch):
            counts = result["request_counts"]
            progress.update(
                task,
                description=result["status"],
                total=counts["total"] or None,
                completed=counts["completed"] + counts["failed"],
            )
    click.echo(describe_batch(result))
    return result


def make_progress_bar() -> Any:
    """Return a progress bar, or None if standard output is no terminal or rich is not installed."""
    if not sys.stdout.isatty():
        return None
    try:
        from rich.progress import BarColumn, MofNCompleteColumn, Progress, TextColumn, TimeRemainingColumn
    except ImportError:
        return None
    return Progress(
        TextColumn("{task.description}"), BarColumn(), MofNCompleteColumn(), TimeRemainingColumn()
    )


def report_errors(result: dict[str, Any]) -> int:
    """Print the errors of a batch to standard error; return 0 if all its lines were answered, otherwise 1."""
    for error in (result.get("errors") or {}).get("data", []):
        location = f"line {error['line']}: " if error["line"] else ""
        click.echo(f"{location}{error['message']} ({error['code']})", err=True)
    return 0 if result["status"] == "completed" and not result["request_counts"]["failed"] else 1


def add_batch_commands(cli: click.Group) -> None:
    """Add the group `batch` with its commands to the command line."""

    @cli.group()
    def batch() -> None:
        """Submit files of requests to be answered in the background."""

    def command(name: str) -> Callable[[Callable[..., None]], Any]:
        def decorate(function: Callable[..., None]) -> Any:
            return batch.command(name)(URL(MEMBER(AUTHORITY(function))))

        return decorate

    @command("submit")
    @click.argument("file", type=click.Path(exists=True, dir_okay=False, path_type=Path))
    @click.option(
        "--window", default="24h", show_default=True, help="Time within which the batch is to be completed."
    )
    @click.option("--watch", is_flag=True, help="Show the batch until it has a final status.")
    def submit(url: str, member: str, authority: Path | None, file: Path, window: str, watch: bool) -> None:
        """Upload FILE (JSON Lines), create a batch of it and print the batch's name."""

        async def run() -> int:
            async with make_batches_client(url, member, authority) as batches:
                uploaded = await batches.upload(file)
                result = await batches.submit(uploaded["id"], window)
                click.echo(result["id"])
                return report_errors(await watch_batch(batches, result["id"])) if watch else 0

        run_command(run())

    @command("watch")
    @click.argument("name")
    def watch_(url: str, member: str, authority: Path | None, name: str) -> None:
        """Show a batch until it has a final status.

        The exit status is 0 if all its lines were answered.
        """

        async def run() -> int:
            async with make_batches_client(url, member, authority) as batches:
                return report_errors(await watch_batch(batches, name))

        run_command(run())

    @command("fetch")
    @click.argument("name")
    @click.option(
        "--to",
        type=click.Path(file_okay=False, path_type=Path),
        default=Path("."),
        help="Folder for NAME_output.jsonl and NAME_error.jsonl.",
    )
    def fetch(url: str, member: str, authority: Path | None, name: str, to: Path) -> None:
        """Download the output and error files of a batch with a final status.

        Each file is written completely or not at all.
        """
        from heathford.client.batches import FINAL_STATUSES

        async def run() -> int:
            async with make_batches_client(url, member, authority) as batches:
                result = await batches.get(name)
                if result["status"] not in FINAL_STATUSES:
                    click.echo(f"{describe_batch(result)}: not over yet", err=True)
                    return 1
                to.mkdir(parents=True, exist_ok=True)
                for kind in ("output", "error"):
                    file = result[f"{kind}_file_id"]
                    if file:
                        path = to / f"{name}_{kind}.jsonl"
                        click.echo(f"{path}: {await batches.fetch(file, path)} bytes")
                return report_errors(result)

        run_command(run())

    @command("cancel")
    @click.argument("name")
    def cancel(url: str, member: str, authority: Path | None, name: str) -> None:
        """Cancel a batch; its answers so far can still be fetched."""

        async def run() -> int:
            async with make_batches_client(url, member, authority) as batches:
                click.echo(describe_batch(await batches.cancel(name)))
            return 0

        run_command(run())

    @command("list")
    def list_(url: str, member: str, authority: Path | None) -> None:
        """List the tenant's batches, newest first."""

        async def run() -> int:
            async with make_batches_client(url, member, authority) as batches:
                async for result in batches.entries("batches"):
                    click.echo(describe_batch(result))
            return 0

        run_command(run())
