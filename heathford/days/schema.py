"""The functions that a day's script may call, and the values allowed for their fields."""

from collections.abc import Mapping

from heathford.script.schema import Field, FunctionSpec, boolean, integer, number, one_of, text

SHARE = number(0.0, 1.0)
SECONDS = number(0.0, 3600.0)  # up to an hour
ENGINE_FAULTS = ("die", "restart", "silent", "stall", "slow", "forget", "full_to", "drain", "reset", "half")
LIST_FAULTS = ("freeze_list", "cut_list", "compact_list", "replay_list")
OTHER_FAULTS = ("cut_zone", "kill_front", "stop_front")

DAY_FUNCTIONS: Mapping[str, FunctionSpec] = {
    "day": FunctionSpec(
        {"name": Field(text), "seconds": Field(number(1.0, 86_400.0))}, min_calls=1, max_calls=1
    ),
    "editors": FunctionSpec(
        {
            "workload": Field(text),
            "member": Field(text, required=False, default=""),  # the tenant
            "rate": Field(number(0.001, 10_000.0)),  # sessions started per second
            "turns": Field(number(1.0, 100.0)),  # mean number of requests of a session
            "think": Field(SECONDS),  # mean time between an answer and the next prompt
            "prompt": Field(integer(1, 1_000_000)),  # mean number of new tokens of a turn
            "answer": Field(integer(1, 1_000_000)),  # max_tokens of a request
            "shared": Field(integer(0, 1_000_000), required=False, default=0),  # tokens of a shared prefix
            "texts": Field(integer(1, 1_000_000), required=False, default=1),  # number of different prefixes
            "unfamiliar": Field(boolean, required=False, default=False),  # prefixes of this load only
            "begin": Field(SHARE, required=False, default=0.0),
            "end": Field(SHARE, required=False, default=1.0),
            "timeout": Field(SECONDS, required=False),
            "by": Field(
                one_of("socket", "websocket library", "http library"), required=False, default="socket"
            ),
            "retry_share": Field(number(0.0, 100.0), required=False, default=0.2),  # a library's retry budget
            "retries": Field(integer(0, 10), required=False, default=0),
            "leave": Field(SHARE, required=False, default=0.0),  # of requests whose client leaves early
            "cancel": Field(SHARE, required=False, default=0.0),  # of requests that the client cancels
            # Share of requests whose client loses its socket and repeats the request.
            "comes_back": Field(SHARE, required=False, default=0.0),
        },
        min_calls=1,
    ),
    "fault": FunctionSpec(
        {
            "do": Field(one_of(*ENGINE_FAULTS, *LIST_FAULTS, *OTHER_FAULTS)),
            "at": Field(SHARE, required=False, default=0.0),  # share of the day's length
            "after": Field(SECONDS, required=False, default=0.0),  # s after that
            "every": Field(SECONDS, required=False, default=0.0),  # s between repetitions; 0: once
            "engine": Field(text, required=False, default=""),
            "rack": Field(text, required=False, default=""),
            "zone": Field(text, required=False, default=""),
            "front": Field(text, required=False, default=""),
            "lasts": Field(SECONDS, required=False, default=0.0),  # s until the fault ends
            "apart": Field(SECONDS, required=False, default=0.0),  # s between engines
            "times": Field(number(1.0, 1000.0), required=False, default=4.0),  # factor of a slow engine
            "workload": Field(text, required=False, default=""),
        }
    ),
}
