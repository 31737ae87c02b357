"""Reads batches on standard input and answers each on standard output until the input ends."""

import sys

import orjson

from heathford.drill.wire import Host


def main() -> int:
    host = Host()
    for line in sys.stdin.buffer:
        if not line.strip():
            continue
        try:
            batch = orjson.loads(line)
            clock, events = batch["clockNs"], batch["msgs"]
        except (orjson.JSONDecodeError, KeyError, TypeError) as problem:
            print(f"heathford.drill: not a batch: {problem!r}", file=sys.stderr)
            return 2
        try:
            output = host.play(clock, events)
        except (KeyError, IndexError, TypeError, ValueError, AttributeError) as problem:
            print(f"heathford.drill: an event that can't be read: {problem!r}", file=sys.stderr)
            return 2
        sys.stdout.buffer.write(orjson.dumps({"output": output}) + b"\n")
        sys.stdout.buffer.flush()
    return 0


if __name__ == "__main__":
    sys.exit(main())
