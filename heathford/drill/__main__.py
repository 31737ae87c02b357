"""Reads batches of events on standard input and answers each on standard output until the input ends."""

import sys

import orjson

from heathford.drill.wire import WireAdapter


def main() -> int:
    adapter = WireAdapter()
    for line in sys.stdin.buffer:
        if not line.strip():
            continue
        try:
            batch = orjson.loads(line)
            clock, events = batch["clockNs"], batch["msgs"]
        except (orjson.JSONDecodeError, KeyError, TypeError) as error:
            print(f"heathford.drill: invalid batch: {error!r}", file=sys.stderr)
            return 2
        try:
            output = adapter.run_batch(clock, events)
        except (KeyError, IndexError, TypeError, ValueError, AttributeError) as error:
            print(f"heathford.drill: invalid event: {error!r}", file=sys.stderr)
            return 2
        sys.stdout.buffer.write(orjson.dumps({"output": output}) + b"\n")
        sys.stdout.buffer.flush()
    return 0


if __name__ == "__main__":
    sys.exit(main())
