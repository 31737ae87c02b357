"""The commands."""

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
from heathford.cli.batch import add_to

if TYPE_CHECKING:
    from heathford.script.script import Script
    from heathford.script.schema import FunctionSpec

URLS = "A front's address: ws(s)://HOST:PORT/v1/sessions or http(s)://HOST:PORT; may be given again."
SCRIPT = click.argument("script", type=click.Path(exists=True, dir_okay=False, path_type=Path))


def checked(path: Path, words: "Mapping[str, FunctionSpec] | None" = None) -> "Script":
    from heathford.script.script import ScriptError, read_script
    from heathford.script.schema import SCRIPT_FUNCTIONS
    from heathford.tls.files import find_key_errors

    try:
        script = read_script(path, words or SCRIPT_FUNCTIONS)
        if words is None and (wrong := find_key_errors(script)):
            raise ScriptError(wrong)
    except ScriptError as problem:
        click.echo(str(problem), err=True)
        sys.exit(2)
    return script


@click.group()
@click.option(
    "--log",
    "form",
    type=click.Choice(["json", "terminal"]),
    default=None,
    help="How logs are written; the default looks at standard error.",
)
@click.option("--log-level", default="info", type=click.Choice(["debug", "info", "warning", "error"]))
@click.version_option(__version__, prog_name="heathford")
def cli(form: str | None, log_level: str) -> None:
    """A router for language-model completions whose reading and writing run on separate engines."""
    logs.set_up(form == "json" or (form is None and not sys.stderr.isatty()), log_level)


@cli.command()
@SCRIPT
def check(script: Path) -> None:
    """Reads SCRIPT whole and tells every mistake."""
    found = checked(script)
    counts = ", ".join(f"{len(calls)} {word}" for word, calls in found.declared.items())
    click.echo(f"{script}: good: {counts}")


@cli.command()
@SCRIPT
@click.option("--number", type=int, required=True, help="Which of the script's fronts, from 0.")
@click.option("--registry", required=True, help="HOST:PORT of the list of engines.")
@click.option("--with-parent", is_flag=True, help="Ends when standard input closes, as with the parent.")
def front(script: Path, number: int, registry: str, with_parent: bool) -> None:
    """Runs one front; says its sessions' URL on standard output."""
    from heathford.front.process import run_front

    declared = checked(script)
    if not 0 <= number < len(declared.all("front")):
        raise click.BadParameter(f"allowed are 0 to {len(declared.all('front')) - 1}", param_hint="--number")
    host, _, port = registry.rpartition(":")
    if not port.isdigit():
        raise click.BadParameter("allowed is HOST:PORT", param_hint="--registry")

    def ready(url: str) -> None:
        click.echo(orjson.dumps({"url": url}).decode())
        sys.stdout.flush()

    asyncio.run(run_front(declared, number, (host, int(port)), ready, with_parent))


@cli.command()
def platform() -> None:
    """Runs one front node of the platform, as its NODE_* variables tell; exits 2 where they can't be used."""
    from heathford.event_loop import new_event_loop
    from heathford.platform.process import run_node
    from heathford.platform.start import StartError

    try:
        with asyncio.Runner(loop_factory=new_event_loop) as runner:
            runner.run(run_node(os.environ))
    except StartError as problem:
        click.echo(f"heathford: {problem}", err=True)
        sys.exit(2)


@cli.group("stand-in")
def stand_in() -> None:
    """Stand-ins for engines and their list, one a process."""


@stand_in.command()
@SCRIPT
@click.option("--name", required=True)
@click.option("--address", default="127.0.0.1")
@click.option("--cold", is_flag=True, help="Starts as a new process does, not as one long warm.")
def engine(script: Path, name: str, address: str, cold: bool) -> None:
    """Runs the engine of that name."""
    from heathford.standin.process import run_engine

    asyncio.run(run_engine(checked(script), name, address, not cold))


@stand_in.command("registry")
@SCRIPT
@click.option("--address", default="127.0.0.1")
@click.option("--port", type=int, default=0)
def registry_(script: Path, address: str, port: int) -> None:
    """Runs the list of engines."""
    from heathford.standin.process import run_registry

    asyncio.run(run_registry(checked(script), address, port))


@cli.command()
@SCRIPT
@click.option("--ready-file", type=click.Path(path_type=Path), help="Gets the addresses once all answer.")
@click.option("--ask", metavar="PROMPT", help="Streams one completion through the first front, then ends.")
def up(script: Path, ready_file: Path | None, ask: str | None) -> None:
    """Runs a whole local deployment: list, engines and fronts, until Ctrl-C or SIGTERM."""
    from heathford.cli.complete import one
    from heathford.local.deployment import run_up

    async def once_ready(ready: dict[str, Any]) -> int | None:
        if ask is None:
            click.echo(orjson.dumps(ready, option=orjson.OPT_INDENT_2).decode())
            return None
        trusted = checked(script).all("service_tls")
        authority = script.parent / trusted[0].authority if trusted and trusted[0].authority else None
        return await one(
            ready["fronts"], ready["workloads"][0], ask, 64, None, click.echo, authority=authority
        )

    sys.exit(asyncio.run(run_up(checked(script), ready_file, once_ready)))


@cli.command()
@click.option("--url", "urls", required=True, multiple=True, help=URLS)
@click.option("--model", default="headline", show_default=True, help="The workload.")
@click.option("--max-tokens", type=int, default=64)
@click.option("--timeout", type=float, default=None, help="s after which the client gives up.")
@click.option("--member", default="", help="For whom it is asked.")
@click.option(
    "--authority",
    type=click.Path(exists=True, dir_okay=False, path_type=Path),
    help="Certificates of the authorities to trust, in PEM.",
)
@click.option(
    "--once", is_flag=True, help="Running it twice would do harm: nothing that may have run is tried again."
)
@click.option(
    "--retry-share",
    type=float,
    default=0.2,
    show_default=True,
    help="Tries again for each first try, at the most.",
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
    """Streams one answer to the terminal and says its final answer; exits 1 unless it finished, 2 where it
    is not to be asked."""
    from heathford.cli.complete import one

    sys.exit(
        asyncio.run(
            one(
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
    help="A workload to choose from; may be given again.",
)
@click.option("--max-tokens", type=int, default=64)
@click.option("--timeout", type=float, default=30.0, show_default=True)
@click.option("--member", default="", help="For whom it is asked.")
@click.option(
    "--authority",
    type=click.Path(exists=True, dir_okay=False, path_type=Path),
    help="Certificates of the authorities to trust, in PEM.",
)
def try_(
    urls: tuple[str, ...],
    models: tuple[str, ...],
    max_tokens: int,
    timeout: float,
    member: str,
    authority: Path | None,
) -> None:
    """Opens a terminal interface: prompts side by side, their streams, final answers and guidance."""
    try:
        from heathford.terminal.app import TryApp
    except ImportError:
        raise click.ClickException("this needs the extra: pip install heathford[terminal]") from None
    from heathford.cli.complete import client_of

    try:
        TryApp(lambda: client_of(list(urls), member, authority, 0.2), list(models), max_tokens, timeout).run()
    except ValueError as problem:
        raise click.BadParameter(str(problem), param_hint="--url") from None


@cli.command()
@SCRIPT
@click.argument("day", type=click.Path(exists=True, dir_okay=False, path_type=Path))
@click.option("--seconds", type=float, default=None, help="The day's length; the default is the day's own.")
@click.option("--seed", type=int, default=1, show_default=True)
@click.option("--report", type=click.Path(path_type=Path), help="A folder that gets recording and logs.")
def day(script: Path, day: Path, seconds: float | None, seed: int, report: Path | None) -> None:
    """Plays DAY on a deployment of SCRIPT's own and judges it; exits 1 if a rule broke."""
    import tempfile

    from heathford.days.judge import judge, show_results
    from heathford.days.play import play_day, summarize, show_summary
    from heathford.days.recording import events
    from heathford.days.schema import DAY_FUNCTIONS

    deployment, plan = checked(script), checked(day, DAY_FUNCTIONS)
    with tempfile.TemporaryDirectory() as folder:
        place = report or Path(folder)
        place.mkdir(parents=True, exist_ok=True)
        path = place / f"{plan.only('day').name}-{seed}.jsonl"
        asyncio.run(
            play_day(
                deployment,
                plan,
                seconds or plan.only("day").seconds,
                seed,
                path,
                logs=path.with_suffix(".log"),
            )
        )
        found = judge(events(path))
        show_summary(summarize(path), found.workloads, click.echo)
        kept = show_results(found, click.echo)
    sys.exit(0 if kept else 1)


@cli.command("judge")
@click.argument("recording", required=False, type=click.Path(dir_okay=False, path_type=Path))
@click.option("--self-test", is_flag=True, help="Judges recordings with one seeded breach each.")
@click.option("--follow", is_flag=True, help="RECORDING still grows: judges it until its end.")
def judge_(recording: Path | None, self_test: bool, follow: bool) -> None:
    """Judges RECORDING by the five rules; exits 1 if one broke."""
    from heathford.days.judge_scenarios import run_self_test
    import time

    from heathford.days.judge import judge, judge_live, show_results
    from heathford.days.recording import events
    from heathford.days.recording import follow as growing

    if self_test:
        sys.exit(0 if run_self_test(click.echo) else 1)
    if recording is None:
        raise click.UsageError("a RECORDING, or --self-test")
    try:
        if follow:
            found = judge_live(growing(recording, lambda: time.sleep(0.2)), click.echo)
            sys.exit(0 if show_results(found, click.echo) else 1)
        sys.exit(0 if show_results(judge(events(recording)), click.echo) else 1)
    except (ValueError, KeyError, OSError) as problem:
        raise click.ClickException(f"no recording: {problem!r}") from None


@cli.group()
def soak() -> None:
    """Long runs, judged while they go on."""


@soak.command("faults")
@click.option("--seeds", default="1..1", show_default=True, help="From and to, or a list: 1..20, 3,8,11.")
@click.option("--seconds", type=float, default=20.0, show_default=True, help="Of each seed.")
@click.option("--fronts", type=click.IntRange(1, 40), default=10, show_default=True)
@click.option(
    "--report", type=click.Path(path_type=Path), required=True, help="A folder for records and logs."
)
@click.option("--replay", type=click.Path(exists=True, path_type=Path), help="A plan.json to play.")
@click.option("--shrink", "shrinks", is_flag=True, help="Look for fewer troubles that break the same rule.")
def soak_faults(
    seeds: str, seconds: float, fronts: int, report: Path, replay: Path | None, shrinks: bool
) -> None:
    """Real front nodes under overlapping troubles; exits 1 if a rule broke."""
    from heathford.soak.plan import parse_plan
    from heathford.soak.report import run_plan, print_outcome
    from heathford.soak.report import run_seeds as soak_seeds

    report.mkdir(parents=True, exist_ok=True)
    # As at an interrupt: the front nodes end with the run. By the event loop's own handler of SIGINT, which
    # waits for a front node that is just being started; raised there, nobody would know of that one.
    signal.signal(signal.SIGTERM, lambda *_: signal.raise_signal(signal.SIGINT))
    if replay:
        outcome = run_plan(parse_plan(replay.read_text()), fronts, report)
        print_outcome(outcome, click.echo)
        sys.exit(bool(outcome.breaches))
    numbers: list[int] = []
    for part in seeds.split(","):
        first, dots, last = part.partition("..")
        if not (first.isdigit() and (last if dots else first).isdigit()):
            raise click.BadParameter("allowed are A..B and A,B,C", param_hint="--seeds")
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
@click.option("--report", type=click.Path(path_type=Path), help="A folder that gets recording and logs.")
def soak_sessions(minutes: float, seed: int, script: Path, day: Path, report: Path | None) -> None:
    """Editors that type, try again, leave and come back while troubles loop; exits 1 if a rule broke."""
    import subprocess
    import tempfile

    from heathford.days.judge import Judge
    from heathford.days.play import play_day, summarize, show_summary
    from heathford.days.recording import events
    from heathford.days.schema import DAY_FUNCTIONS

    deployment, plan = checked(script), checked(day, DAY_FUNCTIONS)
    with tempfile.TemporaryDirectory() as folder:
        place = report or Path(folder)
        place.mkdir(parents=True, exist_ok=True)
        path = place / f"soak-{seed}.jsonl"
        path.unlink(missing_ok=True)
        judging = subprocess.Popen(
            [sys.executable, "-m", "heathford.cli.main", "judge", "--follow", str(path)]
        )
        try:
            asyncio.run(play_day(deployment, plan, 60 * minutes, seed, path, logs=path.with_suffix(".log")))
            heading = Judge()
            for event in events(path):
                heading.add_event(event)
                if heading.workloads:
                    break
            show_summary(summarize(path), heading.workloads, click.echo)
            code = judging.wait()
        finally:
            judging.kill()
    sys.exit(code)


@cli.group()
def fuzz() -> None:
    """Hostile clients, and broken files."""


@fuzz.command("sessions")
@click.option("--seconds", type=float, default=60.0, show_default=True)
@click.option("--seed", type=int, default=1, show_default=True)
@click.option("--keep", type=click.Path(path_type=Path), help="A folder for shrunk cases that failed.")
def fuzz_sessions(seconds: float, seed: int, keep: Path | None) -> None:
    """Random frames, right and wrong; exits 1 if any was answered otherwise than the RFC says."""
    from heathford.fuzz.sessions import fuzz as run

    sys.exit(1 if asyncio.run(run(seconds, seed, keep, click.echo)) else 0)


@fuzz.command("store")
@click.option("--records", type=int, default=9, show_default=True)
def fuzz_store(records: int) -> None:
    """Cuts a small store at every byte and flips every byte; exits 1 if any was neither covered, torn nor
    told."""
    from heathford.fuzz.store import corrupt_every_byte

    sys.exit(1 if corrupt_every_byte(records, click.echo)[2] else 0)


@cli.group()
def store() -> None:
    """A front's store, while no front has it open."""


FOLDER = click.argument("folder", type=click.Path(path_type=Path))


def store_files(folder: Path) -> Any:
    from heathford.store.files import LockedError
    from heathford.store.tools import open_store_files

    try:
        return open_store_files(folder)
    except (LockedError, OSError) as problem:
        raise click.ClickException(str(problem)) from None


@store.command("check")
@FOLDER
@click.option("--repair", is_flag=True, help="Cuts off a torn end. Damage is never touched.")
def store_check(folder: Path, repair: bool) -> None:
    """Tells damage from a torn end; exits 0 whole, 1 torn, 2 damaged."""
    from heathford.store.tools import check as run

    sys.exit(run(store_files(folder), repair, click.echo))


@store.command("stat")
@FOLDER
def store_stat(folder: Path) -> None:
    """What is in it, by name space, and how much disk that takes."""
    from heathford.store.tools import stat

    click.echo(orjson.dumps(stat(store_files(folder)), option=orjson.OPT_INDENT_2).decode())


@store.command("dump")
@FOLDER
@click.option("--space", default="", help="Only this name space.")
def store_dump(folder: Path, space: str) -> None:
    """Entries in order, a line of JSON each."""
    from heathford.store.tools import dump

    for entry in dump(store_files(folder), space):
        click.echo(orjson.dumps(entry).decode())


@store.command("compact")
@FOLDER
def store_compact(folder: Path) -> None:
    """Writes what is there anew and drops the log before it."""
    from heathford.store.journal import DamageError, JournalError
    from heathford.store.tools import compact

    try:
        before, after = compact(store_files(folder))
    except (DamageError, JournalError) as problem:
        raise click.ClickException(str(problem)) from None
    click.echo(f"{before} bytes before, {after} after")


add_to(cli)

if __name__ == "__main__":
    cli()
