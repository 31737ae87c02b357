# Half of the engines turn one workload away, late, while they serve the others.

day("throttled-workload", seconds = 30.0)
editors("headline", member = "marketing", rate = 8.0, turns = 2.0, think = 1.0, prompt = 300, answer = 60,
        shared = 2500, texts = 40, retries = 1)
editors("catalogue", member = "newsroom", rate = 4.0, turns = 1.5, think = 1.0, prompt = 800, answer = 60, retries = 1)
fault("full_to", at = 0.2, zone = "north", workload = "catalogue", lasts = 12.0)
fault("slow", at = 0.4, rack = "n2", times = 4.0, lasts = 6.0)
