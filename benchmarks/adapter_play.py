"""Runs seeded simulations of several front nodes through the simulator's adapter and prints digests.

Each digest covers all replies: two versions of the policy that decide alike give the same one, as after a
change of structure alone. Usage: `python -m benchmarks.adapter_play [SEEDS]`.
"""

import hashlib
import sys
from heapq import heappop, heappush
from itertools import count
from random import Random
from typing import Any

import orjson

from heathford.drill.wire import WireAdapter

NS_PER_SECOND = 1_000_000_000
DURATION = 30.0  # s
ROLES = ["read", "write", "both", "read"]
EFFECTS = ["free", "guarded", "single_shot"]
FAILURE_VERDICTS = ["app_error", "shed", "expired", "dial_failed", "dropped", "unused"]
FAILURE_SHARE = 0.12  # of the attempts


def boot_info(random: Random, front_count: int, number: int) -> dict[str, Any]:
    """Return the settings that a front node is started with."""
    categories = [
        {
            "objectiveNs": (1 + index) * NS_PER_SECOND,
            "idempotency": effect,
            "name": effect,
            "stream": True,
            "group": ("all", "zone", "cell")[index],
            "keyTtlNs": 2 * NS_PER_SECOND,
            "worth": 1.0,
        }
        for index, effect in enumerate(EFFECTS)
    ]
    return {
        "categories": categories,
        "zone": number % 2,
        "myNumber": number,
        "nInstances": front_count,
        "registryMode": "subscribe",
        "familyInfo": {
            "memoryTokens": [0, 150_000, 200_000, 90_000],
            "roleByKind": ROLES,
            "tokenAimNs": 3 * [50_000_000],
            "pinLimitNs": 400_000_000,
            "readInPlace": random.random() < 0.5,
        },
        "policyLimits": {"tryLimit": 4, "cancel": True, "retryAfter": True, "maxRetryAfterNs": NS_PER_SECOND},
        "safety": {
            "warmAfterNs": 6 * NS_PER_SECOND,
            "coldFrom": 0.3,
            "tipMultiple": 2.5,
            "fallNs": NS_PER_SECOND,
        },
    }


class Simulation:
    """All front nodes, and the outcomes of their attempts."""

    def __init__(self, seed: int) -> None:
        self.random, self.now, self.order = Random(seed), 1.0, count()
        self.schedule: list[tuple[float, int, dict[str, Any]]] = []
        self.digest = hashlib.sha256()
        self.actions = 0
        self.adapter = WireAdapter()
        self.attempts: dict[tuple[int, str], int] = {}
        self.entries: dict[int, dict[str, Any]] = {}
        self.front_count = (1, 3, 30)[seed % 3]
        for number in range(self.front_count):
            info = boot_info(Random(seed), self.front_count, number)
            self.send_at(1.0, {"configure": {"who": number, "rngSeed": seed + number, "bootInfo": info}})
        self.send_endpoint_list(1.0, [self.list_entry(engine) for engine in range(1, 25)], "restored")
        for n in range(600):
            self.send_at(self.random.uniform(1.1, DURATION), self.request_event(n))
        for n in range(25):
            at = self.random.uniform(3.0, DURATION)
            changed_entry = {
                **self.list_entry(1 + n % 24),
                "health": self.random.choice(["fading", "off", "on"]),
            }
            self.send_endpoint_list(
                at,
                [changed_entry, {**self.list_entry(100 + n), "bootTimeNs": int(at * NS_PER_SECOND)}],
                "update",
            )

    def send_at(self, when: float, message: dict[str, Any]) -> None:
        heappush(self.schedule, (when, next(self.order), message))

    def list_entry(self, engine: int) -> dict[str, Any]:
        return {
            "engine": engine,
            "rackZone": engine % 2,
            "model": engine % len(ROLES),
            "bay": engine % 6,
            "health": "on",
            "nominal": 1.0 + engine % 3,
        }

    def send_endpoint_list(self, when: float, entries: list[dict[str, Any]], scope: str) -> None:
        number = next(self.order)
        self.send_at(when, {"defineList": {"list": number, "rows": entries}})
        for front_id in range(self.front_count):
            self.send_at(when, {"fleet": {"who": front_id, "scope": scope, "list": number}})

    def request_event(self, n: int) -> dict[str, Any]:
        random = self.random
        return {
            "jobIn": {
                "who": random.randrange(self.front_count),
                "id": f"j{n}",
                "type": random.randrange(3),
                "conversation": f"s{random.randrange(60)}",
                "sharedPrefix": f"t{random.randrange(9)}",
                "sharedLen": 900,
                "nPrompt": random.choice((300, 1500, 4000, 9000)),
                "maxOut": 300,
                "workHintNs": random.choice((0, NS_PER_SECOND)),
                "dueNs": 0,
            }
        }

    def run(self) -> None:
        while self.schedule:
            self.now = self.schedule[0][0]
            messages = []
            while self.schedule and self.schedule[0][0] == self.now:
                messages.append(heappop(self.schedule)[2])
            for message in messages:
                if "jobIn" in message:
                    message["jobIn"]["dueNs"] = int((self.now + 4.0) * NS_PER_SECOND)
            output = self.adapter.run_batch(int(self.now * NS_PER_SECOND), messages)
            self.digest.update(orjson.dumps(output))
            self.actions += len(output)
            for action in list(output):
                for name, fields in action.items():
                    self.handle_action(name, fields)

    def handle_action(self, name: str, fields: dict[str, Any]) -> None:
        front_id = fields["who"]
        if name == "setAlarm":
            self.send_at(
                self.now + max(fields["sleepForNs"], 1000) / NS_PER_SECOND,
                {"alarm": {"who": front_id, "keyBack": 0}},
            )
        elif name == "relay":
            self.simulate_attempt(
                front_id, fields["id"], fields["engine"], fields["tryForNs"] / NS_PER_SECOND
            )

    def simulate_attempt(self, front_id: int, request_id: str, engine: int, timeout: float) -> None:
        """Draw how an attempt ends, and when, and schedule its events."""
        seq = self.attempts.get((front_id, request_id), 0)
        self.attempts[front_id, request_id] = seq + 1
        random, common_fields = self.random, {"who": front_id, "id": request_id, "seqNo": seq}
        duration = random.choice((0.03, 0.1, 0.4, 1.5))
        if duration >= timeout:
            duration, verdict = timeout, "expired"
        elif random.random() < FAILURE_SHARE:
            verdict = random.choice(FAILURE_VERDICTS)
        elif ROLES[engine % len(ROLES)] == "read":
            verdict = "READ"
        else:
            verdict = "delivered"
            self.send_at(
                self.now + duration,
                {"ackFirst": {**common_fields, "latencyNs": int(duration * NS_PER_SECOND)}},
            )
        detail = random.choice((0, 200)) if verdict in ("READ", "delivered") else 0
        stream_duration = 1.0 if verdict == "delivered" else 0.0
        self.send_at(
            self.now + duration + stream_duration,
            {
                "attemptEnd": {
                    **common_fields,
                    "verdict": verdict,
                    "latencyNs": int((duration + stream_duration) * NS_PER_SECOND),
                    "detail": detail,
                    "closed": verdict == "delivered",
                    "healthInfo": {"waiting": random.choice((0, 0, 2))},
                }
            },
        )


def main() -> None:
    for seed in range(int(sys.argv[1]) if len(sys.argv) > 1 else 6):
        simulation = Simulation(seed)
        simulation.run()
        print(seed, simulation.front_count, simulation.actions, simulation.digest.hexdigest())


if __name__ == "__main__":
    main()
