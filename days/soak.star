# Troubles that loop: a rack restarts, writers drain, an engine stalls, connections break, a front stops in order.

day("soak", seconds = 300.0)
editors("headline", member = "marketing", rate = 7.0, turns = 3.0, think = 1.0, prompt = 300, answer = 60,
        shared = 2500, texts = 60, retries = 2, leave = 0.08, cancel = 0.05)
editors("catalogue", member = "newsroom", rate = 2.0, turns = 2.0, think = 1.0, prompt = 800, answer = 60,
        retries = 1, leave = 0.05, comes_back = 0.2)
editors("booking", member = "newsroom", rate = 1.5, turns = 1.0, think = 1.0, prompt = 400, answer = 60,
        leave = 0.05, comes_back = 0.3, retries = 1)
editors("headline", member = "newsroom", rate = 0.5, turns = 1.0, think = 0.0, prompt = 500, answer = 40,
        shared = 2500, texts = 60, timeout = 0.35)
fault("restart", after = 4.0, every = 60.0, rack = "n1", lasts = 0.8)
fault("drain", after = 14.0, every = 60.0, rack = "s1", lasts = 4.0, apart = 0.4)
fault("stall", after = 29.0, every = 60.0, engine = "n2-write-1", lasts = 1.5)
fault("restart", after = 34.0, every = 60.0, rack = "n2", lasts = 1.5)
fault("reset", after = 44.0, every = 60.0, rack = "n1")
fault("drain", after = 47.0, every = 60.0, engine = "n1-write-2", lasts = 3.0)
fault("forget", after = 52.0, every = 60.0, zone = "north")
fault("stop_front", after = 56.0, every = 120.0, front = "south", lasts = 1.0)
