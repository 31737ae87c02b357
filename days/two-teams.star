# Two teams' programs, each by its library, while fronts are killed, a rack restarts and writers drain.

day("two-teams", seconds = 40.0)
editors("headline", member = "marketing", rate = 6.0, turns = 2.0, think = 0.8, prompt = 300, answer = 60,
        shared = 2500, texts = 40, by = "websocket library", leave = 0.05)
editors("headline", member = "newsroom", rate = 3.0, turns = 2.0, think = 0.8, prompt = 300, answer = 60,
        shared = 2500, texts = 40, by = "http library", cancel = 0.05)
editors("booking", member = "newsroom", rate = 2.0, turns = 1.0, think = 1.0, prompt = 400, answer = 60,
        by = "http library")
editors("catalogue", member = "marketing", rate = 2.0, turns = 1.0, think = 1.0, prompt = 800, answer = 60,
        by = "websocket library")
fault("kill_front", at = 0.15, front = "north", lasts = 1.5)
fault("drain", at = 0.3, rack = "s1", lasts = 3.0, apart = 0.3)
fault("kill_front", at = 0.4, front = "south", lasts = 1.0)
fault("restart", at = 0.55, rack = "n1", lasts = 1.0)
fault("kill_front", at = 0.65, front = "north", lasts = 0.5)
fault("stop_front", at = 0.8, front = "south", lasts = 1.0)
