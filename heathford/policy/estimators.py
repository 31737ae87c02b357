"""Fitted prefill times of prefill and combined engines, and the balanced split that chooses between them."""

from bisect import bisect
from collections.abc import Sequence
from math import exp2

SPLIT_CANDIDATES = 512  # split points that are compared
PREFILL_ENGINE_SHARE = 0.5  # share of the prompt: a balanced split from here on chooses the prefill engine
INITIAL_SPLIT_TOKENS = 2000  # uncached tokens above which a prefill engine is chosen without known fits
MIN_ANSWERS = 20  # answers of each role before the fits are used
ANSWER_DECAY = 0.98  # weight kept per answer: about fifty answers count, seconds of traffic
HALF_LIFE = 5.0  # s in which a fit without answers, and counts of requests, lose half: ten requests or more
OUTLIER_RATIO = 4.0  # times its prediction that an answer counts for at most: one stall must not bend a fit
DESCENT_SWEEPS = 20  # per answer: each solution starts from the last one, which is near
MIN_PREDICTED_TIME = 0.05  # s: lower bound of a prediction where it limits what an answer counts for


class LatencyFit:
    """A least-squares fit of latencies in which older answers lose weight.

    No slope is negative, so more work never looks faster.
    """

    def __init__(self, width: int) -> None:
        self.answers = 0
        self.square = [[0.0] * width for _ in range(width)]  # the Gram matrix of the features
        self.moment = [0.0] * width  # the features' products with the times
        self.slopes = [0.0] * width
        self.last_answer_at = 0.0

    def add(self, features: Sequence[float], seconds: float, now: float) -> None:
        """Add the latency of one answer and fit the slopes anew."""
        self.last_answer_at = now
        if self.answers >= MIN_ANSWERS:
            seconds = min(seconds, OUTLIER_RATIO * max(self.predict(features), MIN_PREDICTED_TIME))
        self.answers += 1
        for i, x in enumerate(features):
            self.moment[i] = self.moment[i] * ANSWER_DECAY + x * seconds
            for j, y in enumerate(features):
                self.square[i][j] = self.square[i][j] * ANSWER_DECAY + x * y
        for _ in range(DESCENT_SWEEPS):  # coordinate descent from the last solution
            for i, row in enumerate(self.square):
                residual = self.moment[i] - self.predict(row) + row[i] * self.slopes[i]
                self.slopes[i] = max(0.0, residual / max(row[i], 1e-9))

    def predict(self, features: Sequence[float]) -> float:
        """Return the predicted latency in s."""
        return sum(slope * x for slope, x in zip(self.slopes, features, strict=True))

    def predict_aged(self, features: Sequence[float], now: float) -> float:
        """Return the predicted latency in s, reduced by the age of the last answer.

        Guards against a role that is never chosen again for what it once was, as with an empty cache: without
        answers its prediction shrinks until it is tried again. Costs a slow prefill now and then.
        """
        return exp2((self.last_answer_at - now) / HALF_LIFE) * self.predict(features)


def prefill_features(tokens: float) -> tuple[float, float]:
    return 1.0, tokens / 1000


def combined_features(tokens: float, context_tokens: float) -> tuple[float, float, float]:
    return 1.0, tokens / 1000, tokens / 1000 * (tokens / 2 + context_tokens) / 1000


def prefill_engine_is_better(
    prefill_fit: LatencyFit,
    combined_fit: LatencyFit,
    tokens_at_prefill: float,
    tokens_at_combined: float,
    context_tokens: float,
    now: float,
) -> bool:
    """Return whether a prompt should go to a prefill engine rather than to a combined one.

    Finds the split of the prompt at which both parts would take the same time; where at least half of it
    falls to the prefill engine, that one gets the whole prompt. tokens_at_prefill, tokens_at_combined: tokens
    that each of them has not cached; context_tokens: those of the combined engine's streams.
    """
    if min(prefill_fit.answers, combined_fit.answers) < MIN_ANSWERS:
        return tokens_at_combined > INITIAL_SPLIT_TOKENS

    def time_difference(split: int) -> float:
        share = split / SPLIT_CANDIDATES
        return prefill_fit.predict_aged(
            prefill_features(share * tokens_at_prefill), now
        ) - combined_fit.predict_aged(
            combined_features((1 - share) * tokens_at_combined, context_tokens), now
        )

    # As the split grows the prefill engine's time rises and the other falls.
    split = bisect(range(1, SPLIT_CANDIDATES), 0.0, key=time_difference) + 1
    # Of the two candidates around the balance the nearer one counts.
    return (
        split - (abs(time_difference(split - 1)) <= abs(time_difference(split)))
        >= PREFILL_ENGINE_SHARE * SPLIT_CANDIDATES
    )
