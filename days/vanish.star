# Engines vanish without a word: some die, one falls silent, some connections break, an answer is cut off halfway.

day("vanish", seconds = 30.0)
editors("headline", member = "marketing", rate = 8.0, turns = 2.5, think = 1.0, prompt = 300, answer = 60,
        shared = 2500, texts = 40, retries = 1, leave = 0.03)
editors("catalogue", member = "newsroom", rate = 3.0, turns = 1.5, think = 1.0, prompt = 800, answer = 60, retries = 1)
editors("booking", member = "newsroom", rate = 2.0, turns = 1.0, think = 1.0, prompt = 400, answer = 40)
fault("die", at = 0.2, engine = "n1-write-1", lasts = 8.0)
fault("die", at = 0.3, engine = "s1-read", lasts = 6.0)
fault("silent", at = 0.4, engine = "n2-mixed", lasts = 4.0)
fault("reset", at = 0.5, rack = "n2")
fault("half", at = 0.55, engine = "n1-write-2")
fault("half", at = 0.6, engine = "n2-read")
fault("stall", at = 0.65, engine = "s1-write-2", lasts = 1.5)
