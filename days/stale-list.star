# The list falls behind, is cut off, replays old news and forgets its history, while engines die and drain.

day("stale-list", seconds = 30.0)
editors("headline", member = "marketing", rate = 8.0, turns = 2.5, think = 1.0, prompt = 300, answer = 60,
        shared = 2500, texts = 40, retries = 1)
editors("booking", member = "newsroom", rate = 1.0, turns = 1.0, think = 1.0, prompt = 400, answer = 40)
fault("freeze_list", at = 0.1, lasts = 5.0)
fault("die", at = 0.15, engine = "n1-write-1", lasts = 3.0)
fault("drain", at = 0.2, engine = "n2-write-1", lasts = 6.0)
fault("compact_list", at = 0.45)
fault("replay_list", at = 0.5, lasts = 4.0)
fault("drain", at = 0.55, engine = "s1-write-1", lasts = 4.0)
fault("cut_list", at = 0.7, lasts = 3.0)
fault("restart", at = 0.75, engine = "s1-mixed", lasts = 0.5)
