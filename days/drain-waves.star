# A release: engines drain in waves, a rack at a time, and come back as new, cold processes.

day("drain-waves", seconds = 30.0)
editors("headline", member = "marketing", rate = 8.0, turns = 2.5, think = 1.0, prompt = 300, answer = 80,
        shared = 2500, texts = 40, retries = 1, leave = 0.15)
editors("booking", member = "newsroom", rate = 2.0, turns = 1.0, think = 1.0, prompt = 400, answer = 60, leave = 0.1)
fault("drain", at = 0.1, rack = "n1", lasts = 3.0, apart = 0.5)
fault("drain", at = 0.35, rack = "n2", lasts = 3.0, apart = 0.5)
fault("drain", at = 0.6, rack = "s1", lasts = 3.0, apart = 0.5)
