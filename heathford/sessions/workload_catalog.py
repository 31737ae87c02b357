"""The workloads that a client may name, and what a completion of one may ask for; no I/O."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from math import ceil
from typing import Any

MOST_ATTEMPT = 1000  # tries: beyond it a client is broken, and its counts would be too
MOST_TIMEOUT = 600.0  # s: a client that would wait longer has a batch, not a session


class ParamsError(Exception):
    """What was asked for can't be; the text says what is wrong and what is allowed."""


@dataclass(frozen=True)
class WorkloadLimits:
    place: int  # among the workloads
    name: str
    client_timeout: float  # s, where the client states none
    timeout_per_1000: float  # s more for each 1,000 prompt tokens, where the client states none
    longest: int  # tokens of an answer
    bytes_per_token: float  # of text, as its engines count it on average
    most_prompt: int  # tokens
    latency_target: float  # s
    target_per_1000: float  # s more for each 1,000 prompt tokens


class WorkloadCatalog:
    def __init__(self, catalog: Sequence[WorkloadLimits], members: Sequence[str]) -> None:
        self.catalog = {offer.name: offer for offer in catalog}
        self.by_place = list(catalog)
        self.members = {name: place for place, name in enumerate(members)}

    def latency_target(self, workload: int, prompt: int) -> float:
        """s within which the first token is wanted."""
        offer = self.by_place[workload]
        return offer.latency_target + offer.target_per_1000 * prompt / 1000

    def parse_request(self, params: Mapping[str, Any]) -> dict[str, Any]:
        """The arguments for taking what `params` ask for; raises ParamsError."""
        model = text(params, "model", needed=True)
        offer = self.catalog.get(model)
        if offer is None:
            raise ParamsError(f"model: {model!r} is no workload here; allowed are {', '.join(self.catalog)}")
        user = text(params, "user")
        if user and self.members and user not in self.members:
            raise ParamsError(f"user: {user!r} is no member here")
        prompt = params.get("prompt")
        tokens = prompt_tokens(prompt, offer.bytes_per_token)
        if not 0 < tokens <= offer.most_prompt:
            raise ParamsError(f"prompt: {tokens} tokens; allowed are 1 to {offer.most_prompt}")
        longest = whole(params, "max_tokens", offer.longest)
        if not 1 <= longest <= offer.longest:
            raise ParamsError(f"max_tokens: {longest}; allowed is 1 to {offer.longest}")
        shared_tokens = whole(params, "prefix_tokens", 0)
        if not 0 <= shared_tokens <= tokens:
            raise ParamsError(f"prefix_tokens: {shared_tokens}; allowed is 0 to the prompt's {tokens}")
        timeout = params.get("timeout")
        if timeout is None:
            timeout = offer.client_timeout + offer.timeout_per_1000 * tokens / 1000
        elif (
            isinstance(timeout, bool)
            or not isinstance(timeout, int | float)
            or not (0.0 < timeout <= MOST_TIMEOUT)
        ):
            raise ParamsError(f"timeout: {timeout!r}; allowed is a number of seconds up to {MOST_TIMEOUT:g}")
        return {
            "workload": offer.place,
            "member": self.members.get(user, 0),
            "shared": text(params, "prompt_cache_key"),
            "prompt": tokens,
            "shared_tokens": shared_tokens,
            "longest": longest,
            "timeout": float(timeout),
            "body": {"model": model, "prompt": prompt, "max_tokens": longest},
            "mark": text(params, "idempotency_key"),
        }

    def parse_attempt(self, params: Mapping[str, Any]) -> int:
        """Which try its client says that it is, from 1; raises ParamsError."""
        found = whole(params, "attempt", 1)
        if not 1 <= found <= MOST_ATTEMPT:
            raise ParamsError(f"attempt: {found}; allowed is 1 to {MOST_ATTEMPT}")
        return found


def text(params: Mapping[str, Any], name: str, needed: bool = False) -> str:
    value = params.get(name)
    if value is None and not needed:
        return ""
    if not isinstance(value, str) or (needed and not value) or len(value) > 256 or not value.isprintable():
        raise ParamsError(f"{name}: allowed is a printable text of up to 256 characters")
    return value


def whole(params: Mapping[str, Any], name: str, absent: int) -> int:
    value = params.get(name)
    if value is None:
        return absent
    if isinstance(value, bool) or not isinstance(value, int):
        raise ParamsError(f"{name}: {value!r}; allowed is a whole number")
    return int(value)


def prompt_tokens(prompt: Any, bytes_per_token: float) -> int:
    if isinstance(prompt, str):
        return ceil(len(prompt.encode("utf-8", "surrogatepass")) / bytes_per_token)
    if isinstance(prompt, list) and all(type(t) is int and 0 <= t < 2**63 for t in prompt):
        return len(prompt)
    raise ParamsError("prompt: allowed is a text or a list of token ids")
