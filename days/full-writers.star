# For a while every writer and mixed server turns one workload away, while readers go on reading it.

day("full-writers", seconds = 30.0)
editors("headline", member = "marketing", rate = 6.0, turns = 2.0, think = 1.0, prompt = 300, answer = 60,
        shared = 2500, texts = 40, retries = 1)
editors("booking", member = "newsroom", rate = 1.0, turns = 1.0, think = 1.0, prompt = 400, answer = 40)
[fault("full_to", at = 0.3, engine = rack + name, workload = "headline", lasts = 4.0)
 for rack in ["n1", "n2", "s1"] for name in ["-write-1", "-write-2", "-mixed"]]
