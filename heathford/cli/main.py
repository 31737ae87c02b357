"""Commands of the `heathford` program.

Each command imports what it needs when it runs.
"""

import asyncio
import os
import signal
import sys
from collections.abc import Mapping
from pathlib import Path
from typing import TYPE_CHECKING, Any

import click
import orjson

from heathford import __version__
from heathford.cli import logs
from heathford.cli.batch import add_batch_commands

if TYPE_CHECKING:
    from heathford.script.script import Script
    from heathford.script.schema import FunctionSpec

URLS = (
    "A front node's URL: ws(s)://HOST:PORT/v1/sessions or http(s)://HOST:PORT; may be given more than once."
)
SCRIPT = click.argument("script", type=click.Path(exists=True, dir_okay=False, path_type=Path))


def load_script(path: Path, functions: "Mapping[str, FunctionSpec] | None" = None) -> "Script":
    """Return the script, or print all its mistakes and exit with status 2.

    functions: those that the script may call; without them it is a deployment script, of which the TLS keys
    and certificates are checked too.
    """
    from heathford.script.script import ScriptError, read_script
    from heathford.script.schema import SCRIPT_FUNCTIONS
    from heathford.tls.files import find_key_errors

    try:
        script = read_script(path, functions or SCRIPT_FUNCTIONS)
        if functions is None and (key_errors := find_key_errors(script)):
            raise ScriptError(key_errors)
    except ScriptError as error:
        click.echo(str(error), err=True)
        sys.exit(2)
    return script


@click.group()
@click.option(
    "--log",
    "form",
    type=click.Choice(["json", "terminal"]),
    default=None,
    help="Log format; by default terminal if standard error is one, json otherwise.",
)
@click.option("--log-level", default="info", type=click.Choice(["debug", "info", "warning", "error"]))
@click.version_option(__version__, prog_name="heathford")
def cli(form: str | None, log_level: str) -> None:
    """Route requests for language models to separate prefill and decode engines."""
    logs.set_up(form == "json" or (form is None and not sys.stderr.isatty()), log_level)


@cli.command()
@SCRIPT
def check(script: Path) -> None:
    """Check the deployment SCRIPT and report all its mistakes."""
    loaded = load_script(script)
    counts = ", ".join(f"{len(calls)} {function}" for function, calls in loaded.declared.items())
    click.echo(f"{script}: good: {counts}")


@cli.command()
@SCRIPT
@click.option("--number", type=int, required=True, help="Index of the front node in the script, from 0.")
@click.option("--registry", required=True, help="HOST:PORT of the registry of engines.")
@click.option(
    "--with-parent",
    is_flag=True,
    help="Exit when standard input closes, as it does when the parent process ends.",
)
def front(script: Path, number: int, registry: str, with_parent: bool) -> None:
    """Run one front node; print the URL of its sessions as JSON."""
    from heathford.front.process import run_front

    declared = load_script(script)
    if not 0 <= number < len(declared.all("front")):
        raise click.BadParameter(f"allowed are 0 to {len(declared.all('front')) - 1}", param_hint="--number")
    host, _, port = registry.rpartition(":")
    if not port.isdigit():
        raise click.BadParameter("must be HOST:PORT", param_hint="--registry")

    def ready(url: str) -> None:
        click.echo(orjson.dumps({"url": url}).decode())
        sys.stdout.flush()

    asyncio.run(run_front(declared, number, (host, int(port)), ready, with_parent))


@cli.command()
def platform() -> None:
    """Run one front node of the platform.

    Its settings are the NODE_* environment variables; the exit status is 2 if they can't be used.
    """
    from heathford.event_loop import new_event_loop
    from heathford.platform.process import run_node
    from heathford.platform.start import StartError

    try:
        with asyncio.Runner(loop_factory=new_event_loop) as runner:
            runner.run(run_node(os.environ))
    except StartError as error:
        click.echo(f"heathford: {error}", err=True)
        sys.exit(2)


@cli.group("stand-in")
def stand_in() -> None:
    """Run a stand-in for an engine or for the registry."""


@stand_in.command()
@SCRIPT
@click.option("--name", required=True)
@click.option("--address", default="127.0.0.1")
@click.option(
    "--cold", is_flag=True, help="Begin with a slow start, not as an engine that has been up for long."
)
def engine(script: Path, name: str, address: str, cold: bool) -> None:
    """Run the stand-in for the engine that SCRIPT declares under a name."""
    from heathford.standin.process import run_engine

    asyncio.run(run_engine(load_script(script), name, address, not cold))


@stand_in.command("registry")
@SCRIPT
@click.option("--address", default="127.0.0.1")
@click.option("--port", type=int, default=0)
def registry_(script: Path, address: str, port: int) -> None:
    """Run the stand-in for the registry of engines."""
    from heathford.standin.process import run_registry

    asyncio.run(run_registry(load_script(script), address, port))


@cli.command()
@SCRIPT
@click.option(
    "--ready-file",
    type=click.Path(path_type=Path),
    help="File to write the URLs to once all processes are ready.",
)
@click.option(
    "--ask", metavar="PROMPT", help="Send one request to the first front node, stream its answer, then exit."
)
def up(script: Path, ready_file: Path | None, ask: str | None) -> None:
    """Run a local deployment of registry, engines and front nodes until SIGINT or SIGTERM."""
    from heathford.cli.complete import run_completion
    from heathford.local.deployment import run_up

    async def once_ready(ready: dict[str, Any]) -> int | None:
        if ask is None:
            click.echo(orjson.dumps(ready, option=orjson.OPT_INDENT_2).decode())
            return None
        service_tls = load_script(script).all("service_tls")
        authority = (
            script.parent / service_tls[0].authority if service_tls and service_tls[0].authority else None
        )
        return await run_completion(
            ready["fronts"], ready["workloads"][0], ask, 64, None, click.echo, authority=authority
        )

    sys.exit(asyncio.run(run_up(load_script(script), ready_file, once_ready)))


@cli.command()
@click.option("--url", "urls", required=True, multiple=True, help=URLS)
@click.option("--model", default="headline", show_default=True, help="Workload of the request.")
@click.option("--max-tokens", type=int, default=64)
@click.option("--timeout", type=float, default=None, help="Deadline in s, after which the client gives up.")
@click.option("--member", default="", help="Tenant that owns the requests.")
@click.option(
    "--authority",
    type=click.Path(exists=True, dir_okay=False, path_type=Path),
    help="PEM file with the certificates of the trusted authorities.",
)
@click.option(
    "--once", is_flag=True, help="The request is non-idempotent: it isn't retried once it may have run."
)
@click.option(
    "--retry-share",
    type=float,
    default=0.2,
    show_default=True,
    help="Most retries for each new request, on average.",
)
@click.argument("prompt")
def complete(
    urls: tuple[str, ...],
    model: str,
    max_tokens: int,
    timeout: float | None,
    member: str,
    authority: Path | None,
    once: bool,
    retry_share: float,
    prompt: str,
) -> None:
    """Send PROMPT as one request and stream its answer to the terminal.

    The exit status is 0 if the request finished, 2 if it is invalid, and 1 otherwise.
    """
    from heathford.cli.complete import run_completion

    sys.exit(
        asyncio.run(
            run_completion(
                list(urls),
                model,
                prompt,
                max_tokens,
                timeout,
                click.echo,
                member,
                authority,
                not once,
                retry_share,
            )
        )
    )


@cli.command("try")
@click.option("--url", "urls", required=True, multiple=True, help=URLS)
@click.option(
    "--model",
    "models",
    multiple=True,
    default=["headline"],
    show_default=True,
    help="A workload to choose from; may be given more than once.",
)
@click.option("--max-tokens", type=int, default=64)
@click.option("--timeout", type=float, default=30.0, show_default=True)
@click.option("--member", default="", help="Tenant that owns the requests.")
@click.option(
    "--authority",
    type=click.Path(exists=True, dir_okay=False, path_type=Path),
    help="PEM file with the certificates of the trusted authorities.",
)
def try_(
    urls: tuple[str, ...],
    models: tuple[str, ...],
    max_tokens: int,
    timeout: float,
    member: str,
    authority: Path | None,
) -> None:
    """Open a terminal interface that shows prompts and their answers side by side."""
    try:
        from heathford.terminal.app import TryApp
    except ImportError:
        raise click.ClickException(
            "the terminal interface is not installed: pip install heathford[terminal]"
        ) from None
    from heathford.cli.complete import make_client

    try:
        TryApp(
            lambda: make_client(list(urls), member, authority, 0.2), list(models), max_tokens, timeout
        ).run()
    except ValueError as error:
        raise click.BadParameter(str(error), param_hint="--url") from None


@cli.command()
@SCRIPT
@click.argument("day", type=click.Path(exists=True, dir_okay=False, path_type=Path))
@click.option("--seconds", type=float, default=None, help="Length of the run; by default as DAY declares it.")
@click.option("--seed", type=int, default=1, show_default=True)
@click.option("--report", type=click.Path(path_type=Path), help="Folder for the recording and the logs.")
def day(script: Path, day: Path, seconds: float | None, seed: int, report: Path | None) -> None:
    """Play DAY on a new deployment of SCRIPT and check the recording.

    The exit status is 1 if a rule was violated.
    """
    import tempfile

    from heathford.days.judge import judge, show_results
    from heathford.days.play import play_day, summarize, show_summary
    from heathford.days.recording import events
    from heathford.days.schema import DAY_FUNCTIONS

    deployment, plan = load_script(script), load_script(day, DAY_FUNCTIONS)
    with tempfile.TemporaryDirectory() as folder:
        report_folder = report or Path(folder)
        report_folder.mkdir(parents=True, exist_ok=True)
        recording_path = report_folder / f"{plan.only('day').name}-{seed}.jsonl"
        asyncio.run(
            play_day(
                deployment,
                plan,
                seconds or plan.only("day").seconds,
                seed,
                recording_path,
                logs=recording_path.with_suffix(".log"),
            )
        )
        judge_result = judge(events(recording_path))
        show_summary(summarize(recording_path), judge_result.workloads, click.echo)
        passed = show_results(judge_result, click.echo)
    sys.exit(0 if passed else 1)


@cli.command("judge")
@click.argument("recording", required=False, type=click.Path(dir_okay=False, path_type=Path))
@click.option(
    "--self-test",
    is_flag=True,
    help="Check built-in recordings instead: clean ones and ones with a violation.",
)
@click.option(
    "--follow", is_flag=True, help="Check RECORDING while it is being written, up to its end event."
)
def judge_(recording: Path | None, self_test: bool, follow: bool) -> None:
    """Check RECORDING against the five rules.

    The exit status is 1 if a rule was violated.
    """
    from heathford.days.judge_scenarios import run_self_test
    import time

    from heathford.days.judge import judge, judge_live, show_results
    from heathford.days.recording import events
    from heathford.days.recording import follow as follow_recording

    if self_test:
        sys.exit(0 if run_self_test(click.echo) else 1)
    if recording is None:
        raise click.UsageError("RECORDING or --self-test is required")
    try:
        if follow:
            judge_result = judge_live(follow_recording(recording, lambda: time.sleep(0.2)), click.echo)
            sys.exit(0 if show_results(judge_result, click.echo) else 1)
        sys.exit(0 if show_results(judge(events(recording)), click.echo) else 1)
    except (ValueError, KeyError, OSError) as error:
        raise click.ClickException(f"the recording can't be read: {error!r}") from None


@cli.group()
def soak() -> None:
    """Run front nodes for a long time and check them meanwhile."""


@soak.command("faults")
@click.option(
    "--seeds", default="1..1", show_default=True, help="Seeds as a range or a list: 1..20 or 3,8,11."
)
@click.option(
    "--seconds", type=float, default=20.0, show_default=True, help="Length of the run of each seed."
)
@click.option("--fronts", type=click.IntRange(1, 40), default=10, show_default=True)
@click.option(
    "--report", type=click.Path(path_type=Path), required=True, help="Folder for the recordings and the logs."
)
@click.option(
    "--replay",
    type=click.Path(exists=True, path_type=Path),
    help="Run this plan.json instead of plans from seeds.",
)
@click.option("--shrink", "shrinks", is_flag=True, help="Search for fewer faults that violate the same rule.")
def soak_faults(
    seeds: str, seconds: float, fronts: int, report: Path, replay: Path | None, shrinks: bool
) -> None:
    """Run front nodes under overlapping faults.

    The exit status is 1 if a rule was violated.
    """
    from heathford.soak.plan import parse_plan
    from heathford.soak.report import run_plan, print_outcome
    from heathford.soak.report import run_seeds as soak_seeds

    report.mkdir(parents=True, exist_ok=True)
    # Handles SIGTERM like SIGINT, so that the front nodes end with the run. The event loop's SIGINT handler
    # waits for a front node that is being started; an exception during its start would leave it running.
    # Shells have jobs in the background ignore SIGINT, and asyncio leaves it so.
    signal.signal(signal.SIGINT, signal.default_int_handler)
    signal.signal(signal.SIGTERM, lambda *_: signal.raise_signal(signal.SIGINT))
    if replay:
        outcome = run_plan(parse_plan(replay.read_text()), fronts, report)
        print_outcome(outcome, click.echo)
        sys.exit(bool(outcome.breaches))
    numbers: list[int] = []
    for part in seeds.split(","):
        first, dots, last = part.partition("..")
        if not (first.isdigit() and (last if dots else first).isdigit()):
            raise click.BadParameter("must be A..B or A,B,C", param_hint="--seeds")
        numbers += range(int(first), int(last or first) + 1)
    sys.exit(bool(soak_seeds(numbers, seconds, fronts, report, shrinks, click.echo)))


@soak.command("sessions")
@click.option("--minutes", type=float, default=5.0, show_default=True)
@click.option("--seed", type=int, default=1, show_default=True)
@click.option(
    "--script",
    type=click.Path(exists=True, dir_okay=False, path_type=Path),
    default=Path("deploy/local.star"),
    show_default=True,
)
@click.option(
    "--day",
    type=click.Path(exists=True, dir_okay=False, path_type=Path),
    default=Path("days/soak.star"),
    show_default=True,
)
@click.option("--report", type=click.Path(path_type=Path), help="Folder for the recording and the logs.")
def soak_sessions(minutes: float, seed: int, script: Path, day: Path, report: Path | None) -> None:
    """Play a day of clients that retry, leave and return while faults repeat.

    The exit status is 1 if a rule was violated.
    """
    import subprocess
    import tempfile

    from heathford.days.judge import Judge
    from heathford.days.play import play_day, summarize, show_summary
    from heathford.days.recording import events
    from heathford.days.schema import DAY_FUNCTIONS

    deployment, plan = load_script(script), load_script(day, DAY_FUNCTIONS)
    with tempfile.TemporaryDirectory() as folder:
        report_folder = report or Path(folder)
        report_folder.mkdir(parents=True, exist_ok=True)
        recording_path = report_folder / f"soak-{seed}.jsonl"
        recording_path.unlink(missing_ok=True)
        judge_process = subprocess.Popen(
            [sys.executable, "-m", "heathford.cli.main", "judge", "--follow", str(recording_path)]
        )
        try:
            asyncio.run(
                play_day(
                    deployment,
                    plan,
                    60 * minutes,
                    seed,
                    recording_path,
                    logs=recording_path.with_suffix(".log"),
                )
            )
            header_judge = Judge()
            for event in events(recording_path):
                header_judge.add_event(event)
                if header_judge.workloads:
                    break
            show_summary(summarize(recording_path), header_judge.workloads, click.echo)
            code = judge_process.wait()
        finally:
            judge_process.kill()
    sys.exit(code)


@cli.group()
def fuzz() -> None:
    """Test front nodes with invalid frames and the store with corrupt files."""


@fuzz.command("sessions")
@click.option("--seconds", type=float, default=60.0, show_default=True)
@click.option("--seed", type=int, default=1, show_default=True)
@click.option("--keep", type=click.Path(path_type=Path), help="Folder for the failed cases, shrunk.")
def fuzz_sessions(seconds: float, seed: int, keep: Path | None) -> None:
    """Send random valid and invalid WebSocket frames to a front node.

    The exit status is 1 if any was answered otherwise than the RFC says.
    """
    from heathford.fuzz.sessions import fuzz as fuzz_frames

    sys.exit(1 if asyncio.run(fuzz_frames(seconds, seed, keep, click.echo)) else 0)


@fuzz.command("store")
@click.option("--records", type=int, default=9, show_default=True)
def fuzz_store(records: int) -> None:
    """Truncate a small store at every byte and flip a bit of every byte.

    The exit status is 1 if the store lost more than a torn end without reporting damage.
    """
    from heathford.fuzz.store import corrupt_every_byte

    sys.exit(1 if corrupt_every_byte(records, click.echo)[2] else 0)


@cli.group()
def store() -> None:
    """Inspect or repair a front node's store that no process has open."""


FOLDER = click.argument("folder", type=click.Path(path_type=Path))


def open_store(folder: Path) -> Any:
    """Return the files of the store in the folder; raise ClickException if they are locked or unreadable."""
    from heathford.store.files import LockedError
    from heathford.store.tools import open_store_files

    try:
        return open_store_files(folder)
    except (LockedError, OSError) as error:
        raise click.ClickException(str(error)) from None


@store.command("check")
@FOLDER
@click.option("--repair", is_flag=True, help="Cut off a torn end. Damaged records are never changed.")
def store_check(folder: Path, repair: bool) -> None:
    """Check the store for damage and a torn end.

    The exit status is 0 without a fault, 1 with a torn end, and 2 if data is lost.
    """
    from heathford.store.tools import check as check_files

    sys.exit(check_files(open_store(folder), repair, click.echo))


@store.command("stat")
@FOLDER
def store_stat(folder: Path) -> None:
    """Print the numbers of entries by namespace and the disk space used."""
    from heathford.store.tools import stat

    click.echo(orjson.dumps(stat(open_store(folder)), option=orjson.OPT_INDENT_2).decode())


@store.command("dump")
@FOLDER
@click.option("--space", default="", help="Print only this namespace.")
def store_dump(folder: Path, space: str) -> None:
    """Print the entries in order, one line of JSON each."""
    from heathford.store.tools import dump

    for entry in dump(open_store(folder), space):
        click.echo(orjson.dumps(entry).decode())


@store.command("compact")
@FOLDER
def store_compact(folder: Path) -> None:
    """Write new snapshots and remove the log before them."""
    from heathford.store.journal import DamageError, JournalError
    from heathford.store.tools import compact

    try:
        before, after = compact(open_store(folder))
    except (DamageError, JournalError) as error:
        raise click.ClickException(str(error)) from None
    click.echo(f"{before} bytes before, {after} after")


add_batch_commands(cli)

if __name__ == "__main__":
    cli()
