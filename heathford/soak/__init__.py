"""A randomized soak of real front nodes: overlapping troubles, judged by what crossed the sockets."""
