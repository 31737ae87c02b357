"""First tries and tries again, counted apart; no I/O."""


class RepeatCounter:
    """Knows the completions asked for lately by member and key, also those that were refused and so are
    forgotten by Identities. Bounded: `most` names, the oldest is forgotten first, and none is kept beyond
    `keep` s: a try again that late is counted as a first, which only the counts can tell."""

    def __init__(self, most: int, keep: float) -> None:
        self.most, self.keep = most, keep
        self.lately: dict[tuple[int, str], float] = {}
        self.first_requests = self.repeats = 0

    def count(self, member: int, key: str, now: float, declared: int = 1) -> bool:
        """Counts one try; whether it is a first. declared: which try its client says it is, from 1: one
        that comes from another front is known by that alone."""
        again = declared > 1
        if key:
            name = member, key
            at = self.lately.pop(name, None)
            again = again or (at is not None and now - at < self.keep)
            while self.lately and (
                len(self.lately) >= self.most or (now - next(iter(self.lately.values())) >= self.keep)
            ):
                del self.lately[next(iter(self.lately))]
            if self.most:
                self.lately[name] = now
        if again:
            self.repeats += 1
        else:
            self.first_requests += 1
        return not again
