"""The paper's fitted times of a read, and the balanced cut between the two places where it may be done."""

from bisect import bisect
from collections.abc import Sequence
from math import exp2

CANDIDATES = 512  # cuts tried
HALF = 0.5  # of the prompt: a balanced cut from here on sends the read to a reader
START_TOKENS = 2000  # new tokens: beyond this a reader reads until both fits are known
START_ANSWERS = 20  # answers on each side before the fits are used
FADE = 0.98  # weight kept per answer: about fifty answers count, seconds of traffic
STALE = 5.0  # s that halve what a fit without news says, and what was asked: ten completions or more
OUTLIER = 4.0  # times the predicted time that an answer may count for; one stall must not bend a fit
SWEEPS = 20  # per answer: each starts from the last solution, which moves little
LEAST_TIME = 0.05  # s that a prediction is taken for at least, where it bounds what an answer may count for


class Fit:
    """Least squares, older answers fading; no slope is negative, so more work never looks faster."""

    def __init__(self, width: int) -> None:
        self.answers = 0
        self.square = [[0.0] * width for _ in range(width)]
        self.moment = [0.0] * width
        self.slopes = [0.0] * width
        self.last = 0.0

    def add(self, features: Sequence[float], seconds: float, now: float) -> None:
        self.last = now
        if self.answers >= START_ANSWERS:
            seconds = min(seconds, OUTLIER * max(self.time(features), LEAST_TIME))
        self.answers += 1
        for i, x in enumerate(features):
            self.moment[i] = self.moment[i] * FADE + x * seconds
            for j, y in enumerate(features):
                self.square[i][j] = self.square[i][j] * FADE + x * y
        for _ in range(SWEEPS):  # coordinate descent from the last solution
            for i, row in enumerate(self.square):
                rest = self.moment[i] - self.time(row) + row[i] * self.slopes[i]
                self.slopes[i] = max(0.0, rest / max(row[i], 1e-9))

    def time(self, features: Sequence[float]) -> float:
        return sum(slope * x for slope, x in zip(self.slopes, features, strict=True))

    def aged(self, features: Sequence[float], now: float) -> float:
        """Guards against a side left out for good by what it once was, as with an empty cache: without news
        its figures lose weight until it is tried again. Could harm by a slow read now and then."""
        return exp2((self.last - now) / STALE) * self.time(features)


def read_features(tokens: float) -> tuple[float, float]:
    return 1.0, tokens / 1000


def mixed_features(tokens: float, contexts: float) -> tuple[float, float, float]:
    return 1.0, tokens / 1000, tokens / 1000 * (tokens / 2 + contexts) / 1000


def reader_is_better(
    read_fit: Fit, mixed_fit: Fit, at_reader: float, at_mixed: float, contexts: float, now: float
) -> bool:
    """The design: the balanced cut over the candidates; from half on, a reader reads it all. at_reader,
    at_mixed: tokens that are new there; contexts: tokens that the mixed server holds."""
    if min(read_fit.answers, mixed_fit.answers) < START_ANSWERS:
        return at_mixed > START_TOKENS

    def lead(cut: int) -> float:
        part = cut / CANDIDATES
        return read_fit.aged(read_features(part * at_reader), now) - mixed_fit.aged(
            mixed_features((1 - part) * at_mixed, contexts), now
        )

    cut = bisect(range(1, CANDIDATES), 0.0, key=lead) + 1  # one time grows with the cut, the other falls
    return cut - (abs(lead(cut - 1)) <= abs(lead(cut))) >= HALF * CANDIDATES  # the nearer of the two
