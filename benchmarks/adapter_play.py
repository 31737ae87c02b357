"""Plays a seeded day of several instances through the simulator's adapter and prints a digest of all replies.

For changes of structure alone: two versions of the policy that decide alike give the same digest.
`python -m benchmarks.adapter_play [SEEDS]`.
"""

import hashlib
import sys
from heapq import heappop, heappush
from itertools import count
from random import Random
from typing import Any

import orjson

from heathford.drill.wire import Host

NS = 1_000_000_000
DAY = 30.0  # s
ROLES = ["read", "write", "both", "read"]
EFFECTS = ["free", "guarded", "single_shot"]
VERDICTS = ["app_error", "shed", "expired", "dial_failed", "dropped", "unused"]
TROUBLE = 0.12  # of the attempts end badly


def settings(random: Random, instances: int, number: int) -> dict[str, Any]:
    categories = [
        {
            "objectiveNs": (1 + place) * NS,
            "idempotency": effect,
            "name": effect,
            "stream": True,
            "group": ("all", "zone", "cell")[place],
            "keyTtlNs": 2 * NS,
            "worth": 1.0,
        }
        for place, effect in enumerate(EFFECTS)
    ]
    return {
        "categories": categories,
        "zone": number % 2,
        "myNumber": number,
        "nInstances": instances,
        "registryMode": "subscribe",
        "familyInfo": {
            "memoryTokens": [0, 150_000, 200_000, 90_000],
            "roleByKind": ROLES,
            "tokenAimNs": 3 * [50_000_000],
            "pinLimitNs": 400_000_000,
            "readInPlace": random.random() < 0.5,
        },
        "policyLimits": {"tryLimit": 4, "cancel": True, "retryAfter": True, "maxRetryAfterNs": NS},
        "safety": {"warmAfterNs": 6 * NS, "coldFrom": 0.3, "tipMultiple": 2.5, "fallNs": NS},
    }


class Play:
    """All instances and what becomes of their attempts."""

    def __init__(self, seed: int) -> None:
        self.random, self.now, self.order = Random(seed), 1.0, count()
        self.agenda: list[tuple[float, int, dict[str, Any]]] = []
        self.digest = hashlib.sha256()
        self.actions = 0
        self.host = Host()
        self.attempts: dict[tuple[int, str], int] = {}
        self.rows: dict[int, dict[str, Any]] = {}
        self.instances = (1, 3, 30)[seed % 3]
        for number in range(self.instances):
            info = settings(Random(seed), self.instances, number)
            self.at(1.0, {"configure": {"who": number, "rngSeed": seed + number, "bootInfo": info}})
        self.tell_list(1.0, [self.row(engine) for engine in range(1, 25)], "restored")
        for n in range(600):
            self.at(self.random.uniform(1.1, DAY), self.job(n))
        for n in range(25):
            at = self.random.uniform(3.0, DAY)
            old = {**self.row(1 + n % 24), "health": self.random.choice(["fading", "off", "on"])}
            self.tell_list(at, [old, {**self.row(100 + n), "bootTimeNs": int(at * NS)}], "update")

    def at(self, when: float, message: dict[str, Any]) -> None:
        heappush(self.agenda, (when, next(self.order), message))

    def row(self, engine: int) -> dict[str, Any]:
        return {
            "engine": engine,
            "rackZone": engine % 2,
            "model": engine % len(ROLES),
            "bay": engine % 6,
            "health": "on",
            "nominal": 1.0 + engine % 3,
        }

    def tell_list(self, when: float, rows: list[dict[str, Any]], scope: str) -> None:
        number = next(self.order)
        self.at(when, {"defineList": {"list": number, "rows": rows}})
        for who in range(self.instances):
            self.at(when, {"fleet": {"who": who, "scope": scope, "list": number}})

    def job(self, n: int) -> dict[str, Any]:
        random = self.random
        return {
            "jobIn": {
                "who": random.randrange(self.instances),
                "id": f"j{n}",
                "type": random.randrange(3),
                "conversation": f"s{random.randrange(60)}",
                "sharedPrefix": f"t{random.randrange(9)}",
                "sharedLen": 900,
                "nPrompt": random.choice((300, 1500, 4000, 9000)),
                "maxOut": 300,
                "workHintNs": random.choice((0, NS)),
                "dueNs": 0,
            }
        }

    def run(self) -> None:
        while self.agenda:
            self.now = self.agenda[0][0]
            messages = []
            while self.agenda and self.agenda[0][0] == self.now:
                messages.append(heappop(self.agenda)[2])
            for message in messages:
                if "jobIn" in message:
                    message["jobIn"]["dueNs"] = int((self.now + 4.0) * NS)
            output = self.host.play(int(self.now * NS), messages)
            self.digest.update(orjson.dumps(output))
            self.actions += len(output)
            for action in list(output):
                for name, fields in action.items():
                    self.act(name, fields)

    def act(self, name: str, fields: dict[str, Any]) -> None:
        who = fields["who"]
        if name == "setAlarm":
            self.at(self.now + max(fields["sleepForNs"], 1000) / NS, {"alarm": {"who": who, "keyBack": 0}})
        elif name == "relay":
            self.play_out(who, fields["id"], fields["engine"], fields["tryForNs"] / NS)

    def play_out(self, who: int, job: str, engine: int, within: float) -> None:
        seq = self.attempts.get((who, job), 0)
        self.attempts[who, job] = seq + 1
        random, said = self.random, {"who": who, "id": job, "seqNo": seq}
        takes = random.choice((0.03, 0.1, 0.4, 1.5))
        if takes >= within:
            takes, verdict = within, "expired"
        elif random.random() < TROUBLE:
            verdict = random.choice(VERDICTS)
        elif ROLES[engine % len(ROLES)] == "read":
            verdict = "READ"
        else:
            verdict = "delivered"
            self.at(self.now + takes, {"ackFirst": {**said, "latencyNs": int(takes * NS)}})
        detail = random.choice((0, 200)) if verdict in ("READ", "delivered") else 0
        streams = 1.0 if verdict == "delivered" else 0.0
        self.at(
            self.now + takes + streams,
            {
                "attemptEnd": {
                    **said,
                    "verdict": verdict,
                    "latencyNs": int((takes + streams) * NS),
                    "detail": detail,
                    "closed": verdict == "delivered",
                    "healthInfo": {"waiting": random.choice((0, 0, 2))},
                }
            },
        )


def main() -> None:
    for seed in range(int(sys.argv[1]) if len(sys.argv) > 1 else 6):
        play = Play(seed)
        play.run()
        print(seed, play.instances, play.actions, play.digest.hexdigest())


if __name__ == "__main__":
    main()
