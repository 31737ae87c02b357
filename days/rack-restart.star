# A whole rack restarts together and comes back cold, with states on it; a little later, one of the other zone.

day("rack-restart", seconds = 30.0)
editors("headline", member = "marketing", rate = 8.0, turns = 2.5, think = 1.0, prompt = 300, answer = 60,
        shared = 2500, texts = 40, retries = 1, leave = 0.03)
editors("catalogue", member = "newsroom", rate = 3.0, turns = 1.5, think = 1.0, prompt = 800, answer = 60, retries = 1)
editors("booking", member = "newsroom", rate = 2.0, turns = 1.0, think = 1.0, prompt = 400, answer = 40)
fault("restart", at = 0.25, rack = "n1", lasts = 0.6)
fault("restart", at = 0.6, rack = "s1", lasts = 1.5)
