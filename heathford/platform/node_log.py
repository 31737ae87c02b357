"""What one front node writes to its log of its own accord: state, changes of the endpoint list, history."""

import resource
import time
from dataclasses import asdict
from itertools import islice

import structlog

from heathford.core.core import Core
from heathford.discovery.follower import ListChange
from heathford.fleet.endpoint_list import EndpointList
from heathford.interface import Health
from heathford.log_stream import LOG_STREAM
from heathford.platform.client_server import ClientServer
from heathford.platform.link import PlatformLink

MAX_LOGGED_REASONS = 40  # the most frequent ones, in a state line
MAX_LOGGED_ENGINES = 40  # of each kind, in a line on a change of the endpoint list
STATE_LOG_INTERVAL = 5.0  # s

log = structlog.get_logger()


class NodeLog:
    """Logs what the parts of one front node know."""

    def __init__(
        self, core: Core, link: PlatformLink, clients: ClientServer, endpoint_list: EndpointList
    ) -> None:
        self.core, self.link, self.clients, self.endpoint_list = core, link, clients, endpoint_list
        self.loop = link.loop
        self.lag = 0.0  # s: the longest delay of the event loop since the last state line

    def loop_lagged(self, seconds: float) -> None:
        """Note by how much a timer of the event loop was late."""
        self.lag = max(self.lag, seconds)

    def list_changed(self, change: ListChange) -> None:
        """Log which engines now drain, are gone, or are in slow start, with their age in s."""
        now, warm_after = self.loop.time(), self.core.router.slow_start.warm_after
        leaving: dict[str, str] = {}
        cold: dict[str, float] = {}
        for endpoint, _zone, _kind, _cell, health, _size, started in change.entries:
            if health is not Health.ON:
                leaving[endpoint.name] = health.value
            elif started and now - started < warm_after:
                cold[endpoint.name] = round(now - started, 3)
        log.info(
            "endpoint list",
            version=self.endpoint_list.version,
            complete=change.complete,
            entries=len(change.entries),
            leaving=dict(islice(leaving.items(), MAX_LOGGED_ENGINES)),
            cold=dict(islice(cold.items(), MAX_LOGGED_ENGINES)),
        )

    def state(self) -> None:
        """Log this front node's counters, to be compared with the traffic on its sockets; repeats itself.

        taken: accepted requests; left: those whose client left; late: those that ran past their deadline;
        faults: decisions that raised; live: open requests; out: evicted client connections; spoilt: malformed
        answers of engines; unfinished: streams that ended before their last chunk; request_bytes: memory
        charged to clients' requests and answers, at most max_request_bytes; gate: refusals of the gate, by
        reason; cold: engines in slow start now, and attempts sent to such since the process started; names:
        X-Call-Ids of earlier requests that must not come again; abandoned: requests with attempts that were
        given up, for which releases may be repeated.
        """
        tally, router = self.core.tally, self.core.router
        log.info(
            "state",
            taken=tally.taken,
            finished=tally.finished,
            limited=tally.rate_limited,
            aborted=tally.aborted,
            left=tally.left,
            late=tally.late,
            faults=tally.faults,
            live=len(self.core.live),
            clients=len(self.clients.connections),
            out=self.clients.evicted,
            refused=dict(self.clients.refused),
            ends={v.value: n for v, n in self.link.outcomes.items()},
            spoilt=self.link.malformed_answers,
            unfinished=self.link.unfinished_streams,
            unreleased=self.link.failed_releases,
            engines=len(router.engines),
            cold={"engines": router.cold_engine_count, "attempts": router.slow_start.attempts_sent},
            conns=self.link.pools.open,
            version=self.endpoint_list.version,
            lag=round(self.lag, 3),
            held=self.core.held_state_summary(),
            violations={rule.name: n for rule, n in self.core.gate.violations.items()},
            gate={reason.name: n for reason, n in self.core.gate.refused.items()},
            reasons={
                ": ".join(key): n for key, n in self.core.history.reasons.most_common(MAX_LOGGED_REASONS)
            },
            logs_dropped=LOG_STREAM.dropped,
            mb=resource.getrusage(resource.RUSAGE_SELF).ru_maxrss // 1024,
            names=len(self.clients.request_names.used),
            abandoned=len(self.link.abandoned),
            request_bytes=self.clients.memory.used_bytes,
            max_request_bytes=self.clients.memory.max_bytes,
            cpu=round(time.process_time(), 2),
        )
        self.lag = 0.0
        self.loop.call_later(STATE_LOG_INTERVAL, self.state)

    def history(self) -> None:
        """Log the history of the last requests, with monotonic and wall-clock time; for SIGUSR1."""
        wall_ahead = time.time() - self.loop.time()
        for record in self.core.history.newest():
            fields = asdict(record)
            fields["what"] = fields.pop("event")  # `event` is structlog's key for the message
            log.info("history", wall=round(record.time + wall_ahead, 3), **fields)
