# Traffic jumps to several times the usual, more than the fleet can do, and falls again.

day("burst", seconds = 30.0)
editors("headline", member = "marketing", rate = 6.0, turns = 2.0, think = 1.0, prompt = 300, answer = 60,
        shared = 2500, texts = 40, retries = 1)
editors("headline", member = "newsroom", rate = 25.0, turns = 1.5, think = 0.5, prompt = 400, answer = 60,
        shared = 2500, texts = 40, begin = 0.35, end = 0.55, retries = 2)
editors("booking", member = "newsroom", rate = 1.0, turns = 1.0, think = 1.0, prompt = 400, answer = 40)
