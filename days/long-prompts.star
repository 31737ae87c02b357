# For a while some prompts are many times longer than usual.

day("long-prompts", seconds = 30.0)
editors("headline", member = "marketing", rate = 6.0, turns = 2.5, think = 1.0, prompt = 300, answer = 60,
        shared = 2500, texts = 40, retries = 1)
editors("headline", member = "newsroom", rate = 1.0, turns = 1.0, think = 0.0, prompt = 16000, answer = 60,
        begin = 0.25, end = 0.75, retries = 1)
editors("booking", member = "newsroom", rate = 1.0, turns = 1.0, think = 1.0, prompt = 400, answer = 40)
