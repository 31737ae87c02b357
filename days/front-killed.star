# A front is killed under load and comes back; later one is stopped in order.

day("front-killed", seconds = 30.0)
editors("headline", member = "marketing", rate = 8.0, turns = 2.5, think = 1.0, prompt = 300, answer = 60,
        shared = 2500, texts = 40, retries = 2, cancel = 0.05)
editors("booking", member = "newsroom", rate = 2.0, turns = 1.0, think = 1.0, prompt = 400, answer = 40)
fault("kill_front", at = 0.3, front = "north", lasts = 2.0)
fault("stop_front", at = 0.65, front = "south", lasts = 1.0)
