# One front and a few quick mixed servers: what the front itself costs shows, not the engines.

MODEL = dict(slots = 256, queue = 256, step = 0.001, step_per_stream = 0.0, step_per_1000_context = 0.0,
             read_rate = 2000000.0, chunk = 100000, move_rate = 1000000.0, rack_rate = 1000000.0,
             zone_rate = 1000000.0, state_life = 4.0, kept_texts = 4000)
kind("combined", role = "both", memory = 4000000, stand_in = MODEL)
zone("z")
rack("r", zone = "z")
[engine("mixed-%d" % n, kind = "combined", rack = "r") for n in range(3)]
workload("w", latency_target = 1.0, target_per_1000 = 0.0, client_timeout = 10.0, token_target = 0.05,
         effect = "idempotent", value = 1.0, longest = 400, bytes_per_token = 4.0, most_prompt = 64000)
front("f", zone = "z", address = "127.0.1.9")
registry(address = "127.0.2.9", lag = 0.0, history = 64)
safety(drain_grace = 2.0, pin_limit = 0.3, cold_from = 0.34, cold_multiple = 2.5, cold_window = 2.0,
       warm_after = 8.0, answer_margin = 0.1, stream_limit = 40.0, stream_silence = 3.0)
dispatches(try_limit = 6, may_cancel = True, longest_retry = 2.0, connect_timeout = 0.25, connections = 512,
           idle = 15.0, longest_line = 65536)
sessions(most = 20000, most_out = 1000, most_waiting = 16, longest_message = 1048576, unsent = 65536,
         read_ahead = 16777216, most_held = 67108864, ping = 20.0, pong = 10.0, idle = 3600.0, slow = 10.0,
         come_back = 60.0, identities = 50000, stop_within = 5.0, farewell = 0.0, compress = False)
