"""The workloads that clients may name, and the validation of requests for them. Does no I/O."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from math import ceil
from typing import Any

MAX_ATTEMPT = 1000  # attempts of a client; a higher number shows a fault and would spoil the counts
MAX_TIMEOUT = 600.0  # s; a client that can wait longer should use a batch


class ParamsError(Exception):
    """Request parameters are invalid; the text, which clients receive, says what is allowed."""


@dataclass(frozen=True)
class WorkloadLimits:
    """The limits and latency targets of one workload."""

    index: int  # among the workloads
    name: str
    client_timeout: float  # s, if the client sets none
    timeout_per_1000: float  # s added for each 1,000 prompt tokens, if the client sets none
    max_answer_tokens: int
    bytes_per_token: float  # of text, on average over the engines' tokenizer
    max_prompt_tokens: int
    latency_target: float  # s until the first token
    target_per_1000: float  # s added for each 1,000 prompt tokens


class WorkloadCatalog:
    """The workloads by name and by index, and the tenants that requests may name."""

    def __init__(self, workloads: Sequence[WorkloadLimits], tenants: Sequence[str]) -> None:
        self.by_name = {limits.name: limits for limits in workloads}
        self.by_index = list(workloads)
        self.tenants = {name: index for index, name in enumerate(tenants)}

    def first_token_target(self, workload: int, prompt: int) -> float:
        """Return the time in s within which the first token of a prompt of so many tokens is wanted."""
        limits = self.by_index[workload]
        return limits.latency_target + limits.target_per_1000 * prompt / 1000

    def parse_request(self, params: Mapping[str, Any]) -> dict[str, Any]:
        """Return the arguments of Core.accept for a client's parameters. Raises ParamsError."""
        model = parse_text(params, "model", required=True)
        limits = self.by_name.get(model)
        if limits is None:
            raise ParamsError(f"model: {model!r} is no workload here; allowed are {', '.join(self.by_name)}")
        user = parse_text(params, "user")
        if user and self.tenants and user not in self.tenants:
            raise ParamsError(f"user: {user!r} is no member here")
        prompt = params.get("prompt")
        tokens = count_prompt_tokens(prompt, limits.bytes_per_token)
        if not 0 < tokens <= limits.max_prompt_tokens:
            raise ParamsError(f"prompt: {tokens} tokens; allowed are 1 to {limits.max_prompt_tokens}")
        max_tokens = parse_integer(params, "max_tokens", limits.max_answer_tokens)
        if not 1 <= max_tokens <= limits.max_answer_tokens:
            raise ParamsError(f"max_tokens: {max_tokens}; allowed is 1 to {limits.max_answer_tokens}")
        shared_tokens = parse_integer(params, "prefix_tokens", 0)
        if not 0 <= shared_tokens <= tokens:
            raise ParamsError(f"prefix_tokens: {shared_tokens}; allowed is 0 to the prompt's {tokens}")
        timeout = params.get("timeout")
        if timeout is None:
            timeout = limits.client_timeout + limits.timeout_per_1000 * tokens / 1000
        elif (
            isinstance(timeout, bool)
            or not isinstance(timeout, int | float)
            or not (0.0 < timeout <= MAX_TIMEOUT)
        ):
            raise ParamsError(f"timeout: {timeout!r}; allowed is a number of seconds up to {MAX_TIMEOUT:g}")
        return {
            "workload": limits.index,
            "member": self.tenants.get(user, 0),
            "shared": parse_text(params, "prompt_cache_key"),
            "prompt": tokens,
            "shared_tokens": shared_tokens,
            "longest": max_tokens,
            "timeout": float(timeout),
            "body": {"model": model, "prompt": prompt, "max_tokens": max_tokens},
            "mark": parse_text(params, "idempotency_key"),
        }

    def parse_attempt(self, params: Mapping[str, Any]) -> int:
        """Return the number, from 1, that the client gives its attempt. Raises ParamsError."""
        attempt = parse_integer(params, "attempt", 1)
        if not 1 <= attempt <= MAX_ATTEMPT:
            raise ParamsError(f"attempt: {attempt}; allowed is 1 to {MAX_ATTEMPT}")
        return attempt


def parse_text(params: Mapping[str, Any], name: str, required: bool = False) -> str:
    """Return a text parameter, empty if it is absent and not required. Raises ParamsError."""
    value = params.get(name)
    if value is None and not required:
        return ""
    if not isinstance(value, str) or (required and not value) or len(value) > 256 or not value.isprintable():
        raise ParamsError(f"{name}: allowed is a printable text of up to 256 characters")
    return value


def parse_integer(params: Mapping[str, Any], name: str, default: int) -> int:
    """Return an integer parameter. Raises ParamsError."""
    value = params.get(name)
    if value is None:
        return default
    if isinstance(value, bool) or not isinstance(value, int):
        raise ParamsError(f"{name}: {value!r}; allowed is a whole number")
    return int(value)


def count_prompt_tokens(prompt: Any, bytes_per_token: float) -> int:
    """Return the number of token ids of a prompt, or an estimate for a text. Raises ParamsError."""
    if isinstance(prompt, str):
        return ceil(len(prompt.encode("utf-8", "surrogatepass")) / bytes_per_token)
    if isinstance(prompt, list) and all(type(t) is int and 0 <= t < 2**63 for t in prompt):
        return len(prompt)
    raise ParamsError("prompt: allowed is a text or a list of token ids")
