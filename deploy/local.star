# A whole deployment on one machine: two fronts, a dozen engines in three racks and two zones.

READER = dict(slots = 6, queue = 48, step = 0.012, step_per_stream = 0.0, step_per_1000_context = 0.0,
              read_rate = 20000.0, chunk = 2048, move_rate = 300000.0, rack_rate = 150000.0,
              zone_rate = 75000.0, state_life = 4.0, kept_texts = 4000)
WRITER = dict(READER, slots = 64, queue = 24, step = 0.014, step_per_stream = 0.0002,
              step_per_1000_context = 0.00004, read_rate = 7500.0, chunk = 512)
MIXED = dict(READER, slots = 48, queue = 24, step = 0.014, step_per_stream = 0.0002,
             step_per_1000_context = 0.00004, read_rate = 12000.0, chunk = 1024)

kind("prefill", role = "read", memory = 220000, stand_in = READER)
kind("decode", role = "write", memory = 160000, stand_in = WRITER)
kind("combined", role = "both", memory = 200000, stand_in = MIXED)

zone("north")
zone("south")
rack("n1", zone = "north")
rack("n2", zone = "north")
rack("s1", zone = "south")

def rack_of_engines(rack):
    engine(rack + "-read", kind = "prefill", rack = rack)
    engine(rack + "-write-1", kind = "decode", rack = rack)
    engine(rack + "-write-2", kind = "decode", rack = rack)
    engine(rack + "-mixed", kind = "combined", rack = rack)

[rack_of_engines(r) for r in ["n1", "n2", "s1"]]

# Suggestions while an editor waits may run again; catalogue entries are known by a mark; a booking runs once.
workload("headline", latency_target = 0.8, target_per_1000 = 0.06, client_timeout = 4.0, token_target = 0.05,
         effect = "idempotent", value = 1.0, longest = 400, bytes_per_token = 4.0, most_prompt = 64000)
workload("catalogue", latency_target = 1.5, target_per_1000 = 0.06, client_timeout = 6.0, token_target = 0.06,
         effect = "tokened", group = "zone", memory_time = 4.0, value = 0.5, longest = 600,
         bytes_per_token = 4.0, most_prompt = 64000)
workload("booking", latency_target = 1.0, target_per_1000 = 0.06, client_timeout = 5.0, token_target = 0.05,
         effect = "non-idempotent", value = 2.0, longest = 200, bytes_per_token = 4.0, most_prompt = 64000)

member("marketing")
member("newsroom")

front("north", zone = "north", address = "127.0.1.1")
front("south", zone = "south", address = "127.0.1.2")
registry(address = "127.0.2.1", lag = 0.3, history = 64)

safety(drain_grace = 2.0, pin_limit = 0.3, cold_from = 0.34, cold_multiple = 2.5, cold_window = 2.0,
       warm_after = 8.0, answer_margin = 0.1, stream_limit = 40.0, stream_silence = 3.0)
dispatches(try_limit = 6, may_cancel = True, longest_retry = 2.0, connect_timeout = 0.25, connections = 512,
           idle = 15.0, longest_line = 65536)
sessions(most = 20000, most_out = 16, most_waiting = 16, longest_message = 1048576, unsent = 65536,
         read_ahead = 4194304, most_held = 67108864, ping = 20.0, pong = 10.0, idle = 3600.0, slow = 10.0,
         come_back = 60.0, identities = 50000, stop_within = 10.0, farewell = 3.0, compress = True)
seed(7)
