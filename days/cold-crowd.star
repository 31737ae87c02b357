# Engines of a busy fleet restart one after the other: each comes back cold while all fronts have work for it.

day("cold-crowd", seconds = 20.0)
editors("headline", member = "marketing", rate = 16.0, turns = 2.0, think = 0.5, prompt = 400, answer = 20,
        shared = 3000, texts = 40, retries = 1)
fault("restart", at = 0.2, engine = "n1-read", lasts = 0.5)
fault("restart", at = 0.35, engine = "s1-read", lasts = 0.5)
fault("restart", at = 0.5, engine = "n2-read", lasts = 0.5)
