"""Takes out, one at a time, each rule by which the client libraries try again: the tests must catch each.

    python -m benchmarks.mutated_clients [AT_ONCE [WORD …]]

With words, only the rules whose names have one of them.
"""

import shutil
import subprocess
import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

ROOT = Path(__file__).parent.parent
RETRY, BASE, SOCKET, HTTP = (f"heathford/client/{name}.py" for name in ("retry", "base", "websocket", "http"))
# What is taken out, the file, the text there, what stands instead.
MUTANTS = [
    (
        "what may run once and has no key is not sent again after a loss",
        RETRY,
        "            if not self.keyed:\n                return None\n",
        "",
    ),
    (
        "after a loss, what may run once is asked for at its front alone",
        RETRY,
        "self.unconfirmed_at = self.front  # only",
        "self.unconfirmed_at = None  # only",
    ),
    (
        "what may run once is not sent again after an abort",
        RETRY,
        "failure is FailureKind.ABORTED and not self.repeatable",
        "False",
    ),
    ("a front's never is followed", RETRY, 'guidance == "never" and failure is FailureKind.ABORTED', "False"),
    ("a front's here is followed", RETRY, 'guidance == "here" and failure is FailureKind.ABORTED', "False"),
    ("when to come back is honoured", RETRY, "            wait = retry_after\n", "            wait = 0.0\n"),
    ("waits have jitter", RETRY, "wait *= 1.0 + JITTER * self.fronts.random.random()", "wait *= 1.0"),
    ("the budget bounds tries again", RETRY, "and not self.budget.spend()", "and False"),
    ("credit is bounded", RETRY, "min(MAX_CREDIT, self.credit + self.share)", "self.credit + self.share"),
    (
        "no try begins past the deadline",
        RETRY,
        "if now + wait + MIN_TIME_LEFT >= self.deadline:",
        "if False:",
    ),
    (
        "a front that can't be reached is left",
        RETRY,
        "self.unreachable_count += 1\n            self.front = self.fronts.record_failure(self.front, now)",
        "self.unreachable_count += 1\n            self.fronts.record_failure(self.front, now)",
    ),
    (
        "a front that is gone is not asked again for what may have run there",
        RETRY,
        "failure is FailureKind.UNREACHED and self.unconfirmed_at is not None",
        "False",
    ),
    (
        "a front that refuses is left",
        RETRY,
        "            wait = retry_after\n            if self.unconfirmed_at is None:",
        "            wait = retry_after\n            if False:",
    ),
    (
        "waits grow while none can be reached",
        RETRY,
        "BACKOFF * 2 ** min(self.unreachable_count, 10)",
        "BACKOFF",
    ),
    ("there is a wait once none can be reached", RETRY, "if self.fronts.all_failing(now):", "if False:"),
    (
        "a front that was bad is tried last",
        RETRY,
        "        self.failing_until[front] = now + COOLDOWN\n",
        "        self.failing_until[front] = now - 1.0\n",
    ),
    ("a front that was good is asked next", RETRY, "        self.current = front\n\n", "\n"),
    ("text told again is passed over", BASE, "self.skip_chars = len(self.text)", "self.skip_chars = 0"),
    (
        "another completion's text does not go on where one broke off",
        BASE,
        "if self.completion and completion != self.completion and self.text:",
        "if False:",
    ),
    (
        "what may have run is not called rate-limited",
        BASE,
        "turned_away is not None and (not ran or (self.repeatable and trouble is FailureKind.REFUSED))",
        "turned_away is not None",
    ),
    ("what may have run is not called unsent", BASE, "        if not ran:\n", "        if True:\n"),
    ("leaving a session's stream cancels it", SOCKET, "if not ended and not session.lost:", "if False:"),
    (
        "a session that is told to go takes nothing new",
        SOCKET,
        "self.closing = True  # what",
        "self.closing = False  # what",
    ),
    (
        "a session that refuses is one not reached",
        SOCKET,
        "refused = session.socket.close_code == 1013",
        "refused = False",
    ),
    ("leaving an HTTP stream closes it", HTTP, "stream.close()  # so that the front node notices", "pass  #"),
    ("a stream cut off is not whole", HTTP, "        if not saw_done:\n", "        if False:\n"),
    ("each completion has its key over HTTP", HTTP, '"Idempotency-Key": params["idempotency_key"], ', ""),
]


def caught(mutant: tuple[str, str, str, str]) -> tuple[str, str]:
    """The test that caught it, or nothing."""
    name, file, old, new = mutant
    with tempfile.TemporaryDirectory() as folder:
        tree = Path(folder)
        for part in ("heathford", "tests", "pyproject.toml"):
            source = ROOT / part
            (shutil.copytree if source.is_dir() else shutil.copy)(source, tree / part)
        path = tree / file
        text = path.read_text()
        if text.count(old) != 1:
            return name, f"NOT APPLIED: its text stands {text.count(old)} times in {file}"
        path.write_text(text.replace(old, new))
        try:
            run = subprocess.run(
                [
                    sys.executable,
                    "-m",
                    "pytest",
                    "-x",
                    "-q",
                    "-p",
                    "no:cacheprovider",
                    "tests/test_clients.py",
                    "tests/test_service.py",
                    "-k",
                    "not before and not try_shows",
                ],
                cwd=tree,
                capture_output=True,
                text=True,
                timeout=240.0,
            )
        except subprocess.TimeoutExpired:
            return name, "the tests hang"
        failed = [x for x in run.stdout.splitlines() if x.startswith("FAILED")]
        return name, failed[0].split("::")[1].split(" - ")[0] if failed else ""


def main() -> int:
    missed, words = 0, sys.argv[2:]
    chosen = [m for m in MUTANTS if not words or any(word in m[0] for word in words)]
    with ThreadPoolExecutor(int(sys.argv[1]) if len(sys.argv) > 1 else 4) as pool:
        for name, by in pool.map(caught, chosen):
            good = bool(by) and not by.startswith("NOT")
            missed += not good
            print(f"{'caught' if good else 'MISSED'}: {name}{f': {by}' if by else ''}", flush=True)
    print(f"{len(chosen) - missed} of {len(chosen)} caught")
    return 1 if missed else 0


if __name__ == "__main__":
    sys.exit(main())
