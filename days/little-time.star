# Clients with less time left than the latency target, first on a warm fleet, then during a rack restart.

day("little-time", seconds = 30.0)
editors("headline", member = "marketing", rate = 6.0, turns = 2.5, think = 1.0, prompt = 300, answer = 60,
        shared = 2500, texts = 40, retries = 1)
editors("headline", member = "newsroom", rate = 3.0, turns = 1.0, think = 0.0, prompt = 600, answer = 40,
        shared = 2500, texts = 40, timeout = 0.4)
editors("booking", member = "newsroom", rate = 2.0, turns = 1.0, think = 1.0, prompt = 400, answer = 40, timeout = 0.3)
fault("restart", at = 0.5, rack = "n1", lasts = 1.0)
