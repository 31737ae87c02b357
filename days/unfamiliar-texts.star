# Many new sessions begin with long shared texts never seen before, while engines forget what they kept.

day("unfamiliar-texts", seconds = 30.0)
editors("headline", member = "marketing", rate = 6.0, turns = 2.5, think = 1.0, prompt = 300, answer = 60,
        shared = 2500, texts = 40, retries = 1)
editors("headline", member = "newsroom", rate = 6.0, turns = 1.0, think = 0.0, prompt = 200, answer = 40,
        shared = 7000, texts = 60, unfamiliar = True, begin = 0.25, end = 0.75, retries = 1)
fault("forget", at = 0.5, zone = "north")
