"""The words of a day's script."""

from collections.abc import Mapping

from heathford.script.schema import Field, FunctionSpec, number, one_of, switch, text, whole

SHARE = number(0.0, 1.0)
SECONDS = number(0.0, 3600.0)
ENGINE_FAULTS = ("die", "restart", "silent", "stall", "slow", "forget", "full_to", "drain", "reset", "half")
LIST_FAULTS = ("freeze_list", "cut_list", "compact_list", "replay_list")
OTHER_FAULTS = ("cut_zone", "kill_front", "stop_front")

DAY_FUNCTIONS: Mapping[str, FunctionSpec] = {
    "day": FunctionSpec({"name": Field(text), "seconds": Field(number(1.0, 86_400.0))}, least=1, most=1),
    "editors": FunctionSpec(
        {
            "workload": Field(text),
            "member": Field(text, needed=False, absent=""),
            "rate": Field(number(0.001, 10_000.0)),  # sessions begun a second
            "turns": Field(number(1.0, 100.0)),  # completions of a session, on average
            "think": Field(SECONDS),  # s between an answer and the next prompt, on average
            "prompt": Field(whole(1, 1_000_000)),  # new tokens of a turn, on average
            "answer": Field(whole(1, 1_000_000)),  # most tokens of an answer
            "shared": Field(whole(0, 1_000_000), needed=False, absent=0),  # tokens of a shared beginning
            "texts": Field(whole(1, 1_000_000), needed=False, absent=1),  # different shared beginnings
            "unfamiliar": Field(switch, needed=False, absent=False),  # never seen before this load
            "begin": Field(SHARE, needed=False, absent=0.0),
            "end": Field(SHARE, needed=False, absent=1.0),
            "timeout": Field(SECONDS, needed=False),
            "by": Field(one_of("socket", "websocket library", "http library"), needed=False, absent="socket"),
            "retry_share": Field(number(0.0, 100.0), needed=False, absent=0.2),  # of a library's budget
            "retries": Field(whole(0, 10), needed=False, absent=0),
            "leave": Field(SHARE, needed=False, absent=0.0),  # share of completions whose client goes early
            "cancel": Field(SHARE, needed=False, absent=0.0),  # share that the client cancels
            "comes_back": Field(
                SHARE, needed=False, absent=0.0
            ),  # share that loses its socket and asks again
        },
        least=1,
    ),
    "fault": FunctionSpec(
        {
            "do": Field(one_of(*ENGINE_FAULTS, *LIST_FAULTS, *OTHER_FAULTS)),
            "at": Field(SHARE, needed=False, absent=0.0),  # of the day
            "after": Field(SECONDS, needed=False, absent=0.0),  # s more
            "every": Field(SECONDS, needed=False, absent=0.0),  # s until it is done again; 0: once
            "engine": Field(text, needed=False, absent=""),
            "rack": Field(text, needed=False, absent=""),
            "zone": Field(text, needed=False, absent=""),
            "front": Field(text, needed=False, absent=""),
            "lasts": Field(SECONDS, needed=False, absent=0.0),  # s until it is undone
            "apart": Field(SECONDS, needed=False, absent=0.0),  # s between the engines of a rack or zone
            "times": Field(number(1.0, 1000.0), needed=False, absent=4.0),
            "workload": Field(text, needed=False, absent=""),
        }
    ),
}
