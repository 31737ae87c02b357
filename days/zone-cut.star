# One zone is cut off from the other: neither dispatches nor states pass between them.

day("zone-cut", seconds = 30.0)
editors("headline", member = "marketing", rate = 8.0, turns = 2.5, think = 1.0, prompt = 300, answer = 60,
        shared = 2500, texts = 40, retries = 1)
editors("catalogue", member = "newsroom", rate = 2.0, turns = 1.5, think = 1.0, prompt = 800, answer = 60, retries = 1)
editors("booking", member = "newsroom", rate = 2.0, turns = 1.0, think = 1.0, prompt = 400, answer = 40)
fault("cut_zone", at = 0.25, zone = "south", lasts = 6.0)
