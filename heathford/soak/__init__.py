"""A randomized soak test of real front nodes under overlapping faults.

Run with `heathford soak faults`. An oracle checks what was observed on the sockets.
"""
