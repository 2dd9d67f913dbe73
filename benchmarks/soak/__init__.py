"""A randomized soak: real instances as processes, faults from outside, checks."""
